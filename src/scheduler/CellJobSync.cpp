#include "scheduler/CellJobSync.h"

#include "scheduler/AssignmentController.h"

namespace hickoryknot {

namespace {

// Bounds the size of one log entry: the command line of a job has up to 4 KiB.
constexpr size_t maxAdmissions = 128;

template <typename Command> void appendIfNonEmpty(std::vector<ZoneCommand>& commands, Command&& command, bool hasAny)
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

CellJobSync::CellJobSync(const ZoneState& state, const CellState& cell, Duration cellRetry)
    : m_state(state)
    , m_cell(cell)
    , m_cellRetry(cellRetry)
{
}

void CellJobSync::reset()
{
    m_changed.clear();
    m_inFlight.clear();
    m_cancelledBeforeAdmission.clear();
    m_reportedAt.clear();
    markAllChanged();
}

void CellJobSync::markChanged(JobNumber job)
{
    if (job.isCellJob)
        m_changed.insert(job.number);
}

void CellJobSync::markAllChanged()
{
    const auto& assigned = m_cell.jobsOfZone(m_state.zone());
    m_changed.insert(assigned.begin(), assigned.end());
    for (const auto job : m_state.openJobs())
        markChanged(job);
}

std::vector<ZoneCommand> CellJobSync::collectZoneCommands(UnixMs atMs)
{
    Batch batch;
    for (auto at = m_changed.begin(); at != m_changed.end() && batch.admit.entries.size() < maxAdmissions;) {
        if (m_inFlight.contains(*at)) {
            ++at;
            continue;
        }
        reconcileJob(*at, batch);
        at = m_changed.erase(at);
    }
    collectForgettable(batch);
    batch.admit.tableVersion = m_cell.table().version();
    batch.admit.cellRevision = batch.supersede.cellRevision = batch.forget.cellRevision = m_cell.revision();
    batch.admit.atMs = batch.supersede.atMs = batch.cancel.atMs = atMs;

    std::vector<ZoneCommand> commands;
    appendIfNonEmpty(commands, std::move(batch.supersede), !batch.supersede.jobs.empty());
    appendIfNonEmpty(commands, std::move(batch.cancel), !batch.cancel.jobs.empty());
    appendIfNonEmpty(commands, std::move(batch.admit), !batch.admit.entries.empty());
    appendIfNonEmpty(commands, std::move(batch.forget), !batch.forget.jobs.empty());
    for (const auto& command : commands) {
        for (const uint32_t job : jobsOf(command))
            m_inFlight.insert(job);
    }
    return commands;
}

void CellJobSync::reconcileJob(uint32_t number, Batch& batch)
{
    const JobNumber key { .number = number, .isCellJob = true };
    const ZoneJob* zoneJob = m_state.findJob(key);
    const CellJob* record = m_cell.findJob(number);
    if (zoneJob && zoneJob->isOpen()) {
        if (isSupersededInCell(*zoneJob, m_cell) && zoneJob->phase != ZoneJobPhase::Superseded)
            batch.supersede.jobs.push_back(number);
        else if (record && record->phase == CellJobPhase::Cancelling && zoneJob->phase == ZoneJobPhase::Active)
            batch.cancel.jobs.push_back(key);
        return;
    }
    const bool isAssignedHere = record && record->zone == m_state.zone() && record->phase == CellJobPhase::Assigned;
    if (!zoneJob && record && record->zone == m_state.zone() && record->phase == CellJobPhase::Cancelling)
        m_cancelledBeforeAdmission.insert(number);
    if (isAssignedHere && (!zoneJob || zoneJob->epoch < record->epoch))
        batch.admit.entries.push_back({ .job = number,
            .epoch = record->epoch,
            .cutOff = strictestCutOffRule(*record),
            .spec = record->spec,
            .submittedMs = record->submittedMs });
}

// Jobs that have ended in this zone and whose end the cell has recorded.
void CellJobSync::collectForgettable(Batch& batch)
{
    for (const auto number : m_state.reportableJobs()) {
        if (m_inFlight.contains(number.number) || !isSupersededInCell(*m_state.findJob(number), m_cell))
            continue;
        batch.forget.jobs.push_back(number.number);
        m_reportedAt.erase(number);
    }
}

void CellJobSync::onCommandResult(const ZoneCommand& command)
{
    for (const uint32_t job : jobsOf(command)) {
        m_inFlight.erase(job);
        m_changed.insert(job);
    }
}

std::vector<CellCommand> CellJobSync::collectCellCommands(TimePoint now, UnixMs atMs)
{
    FinishCellJobs finished { .atMs = atMs };
    ReturnCellJobs returned { .atMs = atMs };
    // Outcomes and returned jobs that the cell has not recorded yet.
    for (const auto number : m_state.reportableJobs()) {
        const ZoneJob& job = *m_state.findJob(number);
        if (isSupersededInCell(job, m_cell) || !isReportDue(number, now))
            continue;
        if (job.phase == ZoneJobPhase::Ended)
            finished.entries.push_back({ .job = number.number, .epoch = job.epoch, .outcome = job.outcome });
        else
            returned.entries.push_back(
                { .job = number.number, .epoch = job.epoch, .canNeverRun = job.canNeverRun, .reason = job.reason });
    }
    std::erase_if(m_cancelledBeforeAdmission, [&](uint32_t number) {
        const JobNumber key { .number = number, .isCellJob = true };
        const CellJob* record = m_cell.findJob(number);
        const bool isOpen = record && record->phase == CellJobPhase::Cancelling && record->zone == m_state.zone();
        if (!isOpen || m_state.findJob(key) || m_inFlight.contains(number))
            return true;
        if (isReportDue(key, now))
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

bool CellJobSync::isReportDue(JobNumber job, TimePoint now)
{
    const auto [at, isNew] = m_reportedAt.try_emplace(job, now);
    if (!isNew && now - at->second < m_cellRetry)
        return false;
    at->second = now;
    return true;
}

// The stricter of the job's record in the cell and the table: the cell's record changes to stop only after this zone
// has recorded the rule.
CutOffRule CellJobSync::strictestCutOffRule(const CellJob& record) const
{
    const Row* row = m_cell.table().findClass(record.spec.row);
    const bool isStop = record.cutOff == CutOffRule::Stop || (row && row->cutOff == CutOffRule::Stop);
    return isStop ? CutOffRule::Stop : CutOffRule::Keep;
}

} // namespace hickoryknot
