#include "scheduler/CellLink.h"

#include "scheduler/WorkerDesk.h"

namespace hickoryknot {

namespace {

// Bounds one record: a job's command has up to 4 KiB.
constexpr size_t maxAdmissions = 128;

template <typename Command> void appendIfAny(std::vector<ZoneCommand>& commands, Command&& command, bool hasAny)
{
    if (hasAny)
        commands.emplace_back(std::forward<Command>(command));
}

std::vector<uint32_t> jobsOf(const ZoneCommand& command)
{
    std::vector<uint32_t> jobs;
    if (const auto* admit = std::get_if<AdmitCellJobs>(&command)) {
        for (const auto& entry : admit->entries)
            jobs.push_back(entry.job);
    } else if (const auto* cancel = std::get_if<CancelZoneJobs>(&command)) {
        for (const auto number : cancel->jobs)
            jobs.push_back(number.number);
    } else if (const auto* supersede = std::get_if<SupersedeJobs>(&command)) {
        jobs = supersede->jobs;
    } else if (const auto* forget = std::get_if<ForgetCellJobs>(&command)) {
        jobs = forget->jobs;
    }
    return jobs;
}

} // namespace

CellLink::CellLink(const ZoneState& state, const CellState& cell, Duration cellRetry)
    : m_state(state)
    , m_cell(cell)
    , m_cellRetry(cellRetry)
{
}

void CellLink::begin()
{
    m_changed.clear();
    m_inFlight.clear();
    m_cancelledEarly.clear();
    m_reportedAt.clear();
    allChanged();
}

void CellLink::changed(JobNumber job)
{
    if (job.isCellJob)
        m_changed.insert(job.number);
}

void CellLink::allChanged()
{
    const auto& assigned = m_cell.jobsOfZone(m_state.zone());
    m_changed.insert(assigned.begin(), assigned.end());
    for (const auto job : m_state.openJobs())
        changed(job);
}

std::vector<ZoneCommand> CellLink::zoneCommands(UnixMs atMs)
{
    Batch batch;
    for (auto at = m_changed.begin(); at != m_changed.end() && batch.admit.entries.size() < maxAdmissions;) {
        if (m_inFlight.contains(*at)) {
            ++at;
            continue;
        }
        look(*at, batch);
        at = m_changed.erase(at);
    }
    lookForgettable(batch);
    batch.admit.tableVersion = m_cell.table().version();
    batch.admit.cellRevision = batch.supersede.cellRevision = batch.forget.cellRevision = m_cell.revision();
    batch.admit.atMs = batch.supersede.atMs = batch.cancel.atMs = atMs;

    std::vector<ZoneCommand> commands;
    appendIfAny(commands, std::move(batch.supersede), !batch.supersede.jobs.empty());
    appendIfAny(commands, std::move(batch.cancel), !batch.cancel.jobs.empty());
    appendIfAny(commands, std::move(batch.admit), !batch.admit.entries.empty());
    appendIfAny(commands, std::move(batch.forget), !batch.forget.jobs.empty());
    for (const auto& command : commands) {
        for (const uint32_t job : jobsOf(command))
            m_inFlight.insert(job);
    }
    return commands;
}

void CellLink::look(uint32_t number, Batch& batch)
{
    const JobNumber key { .number = number, .isCellJob = true };
    const ZoneJob* here = m_state.findJob(key);
    const CellJob* record = m_cell.findJob(number);
    if (here && here->isOpen()) {
        if (isMovedOn(*here, m_cell) && here->phase != ZoneJobPhase::Superseded)
            batch.supersede.jobs.push_back(number);
        else if (record && record->phase == CellJobPhase::Cancelling && here->phase == ZoneJobPhase::Active)
            batch.cancel.jobs.push_back(key);
        return;
    }
    const bool isOurs = record && record->zone == m_state.zone() && record->phase == CellJobPhase::Assigned;
    if (!here && record && record->zone == m_state.zone() && record->phase == CellJobPhase::Cancelling)
        m_cancelledEarly.insert(number);
    if (isOurs && (!here || here->epoch < record->epoch))
        batch.admit.entries.push_back({ .job = number,
            .epoch = record->epoch,
            .cutOff = ruleFor(*record),
            .spec = record->spec,
            .submittedMs = record->submittedMs });
}

// Jobs that are over here and of which the cell says the same.
void CellLink::lookForgettable(Batch& batch)
{
    for (const auto number : m_state.reportableJobs()) {
        if (m_inFlight.contains(number.number) || !isMovedOn(*m_state.findJob(number), m_cell))
            continue;
        batch.forget.jobs.push_back(number.number);
        m_reportedAt.erase(number);
    }
}

void CellLink::settled(const ZoneCommand& command)
{
    for (const uint32_t job : jobsOf(command)) {
        m_inFlight.erase(job);
        m_changed.insert(job);
    }
}

std::vector<CellCommand> CellLink::cellCommands(TimePoint now, UnixMs atMs)
{
    FinishCellJobs finished { .atMs = atMs };
    ReturnCellJobs returned { .atMs = atMs };
    // Outcomes and returns that the cell has not recorded yet.
    for (const auto number : m_state.reportableJobs()) {
        const ZoneJob& job = *m_state.findJob(number);
        if (isMovedOn(job, m_cell) || !isDue(number, now))
            continue;
        if (job.phase == ZoneJobPhase::Ended)
            finished.entries.push_back({ .job = number.number, .epoch = job.epoch, .outcome = job.outcome });
        else
            returned.entries.push_back(
                { .job = number.number, .epoch = job.epoch, .canNeverRun = job.canNeverRun, .reason = job.reason });
    }
    std::erase_if(m_cancelledEarly, [&](uint32_t number) {
        const JobNumber key { .number = number, .isCellJob = true };
        const CellJob* record = m_cell.findJob(number);
        const bool isOpen = record && record->phase == CellJobPhase::Cancelling && record->zone == m_state.zone();
        if (!isOpen || m_state.findJob(key) || m_inFlight.contains(number))
            return true;
        if (isDue(key, now))
            returned.entries.push_back({ .job = number, .epoch = record->epoch, .reason = "cancelled" });
        return false;
    });
    std::vector<CellCommand> commands;
    if (!finished.entries.empty())
        commands.emplace_back(std::move(finished));
    if (!returned.entries.empty())
        commands.emplace_back(std::move(returned));
    return commands;
}

bool CellLink::isDue(JobNumber job, TimePoint now)
{
    const auto [at, isNew] = m_reportedAt.try_emplace(job, now);
    if (!isNew && now - at->second < m_cellRetry)
        return false;
    at->second = now;
    return true;
}

// The stricter of the cell's record and the table, because the record of a job becomes stop only after this zone's.
CutOffRule CellLink::ruleFor(const CellJob& record) const
{
    const Row* row = m_cell.table().findClass(record.spec.row);
    const bool isStop = record.cutOff == CutOffRule::Stop || (row && row->cutOff == CutOffRule::Stop);
    return isStop ? CutOffRule::Stop : CutOffRule::Keep;
}

} // namespace hickoryknot
