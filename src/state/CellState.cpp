#include "state/CellState.h"

#include <algorithm>
#include <fmt/format.h>

#include "core/Assert.h"
#include "core/Hash.h"
#include "state/RequestExecution.h"
#include "state/StateFields.h"

namespace hickoryknot {

namespace {

// Incremented when the snapshot layout changes.
constexpr uint64_t snapshotFormat = 1;

Error conflict(std::string message) { return { .code = ErrorCode::Conflict, .message = std::move(message) }; }

template <typename Key, typename Value> void writeValues(FieldWriter& writer, const std::map<Key, Value>& map)
{
    writer(static_cast<uint64_t>(map.size()));
    for (const auto& [key, value] : map)
        writer(value);
}

// Reads values into a map, with one of their members as the key.
template <typename Key, typename Value, typename Member>
void readValues(FieldReader& reader, std::map<Key, Value>& map, Member Value::*key)
{
    uint64_t count = 0;
    reader(count);
    for (uint64_t i = 0; i < count && reader.isOk(); ++i) {
        Value value;
        reader(value);
        Key keyOfValue = value.*key;
        map.insert_or_assign(std::move(keyOfValue), std::move(value));
    }
}

Outcome outcomeOf(OutcomeKind kind, std::string reason, std::string message)
{
    return { .kind = kind, .reason = std::move(reason), .message = std::move(message), .response = {} };
}

} // namespace

std::string CellState::apply(uint64_t, std::string_view payload)
{
    const auto command = decodeCellCommand(payload);
    return encodeCommandResult(command ? execute(*command) : CommandResult(command.error()));
}

CommandResult CellState::execute(const CellCommand& command)
{
    ++m_data.revision;
    return std::visit([this](const auto& typed) { return run(typed); }, command);
}

std::string CellState::snapshot() const
{
    FieldWriter writer;
    const auto& table = m_data.table.content();
    writer(snapshotFormat, table.version, table.changedBy, table.changedByRequest, table.rows,
        std::vector<Table::RecordedChange>(table.outcomes.begin(), table.outcomes.end()));
    writeValues(writer, m_data.hosts);
    writeValues(writer, m_data.zones);
    writeValues(writer, m_data.jobs);
    m_data.requests.write(writer);
    writer(m_data.nextJob, m_data.revision, m_data.nowMs);
    return writer.finish();
}

Expected<void> CellState::restore(std::string_view snapshot)
{
    FieldReader reader(snapshot);
    Data data;
    uint64_t format = 0;
    Table::Content table;
    std::vector<Table::RecordedChange> outcomes;
    reader(format, table.version, table.changedBy, table.changedByRequest, table.rows, outcomes);
    if (format != snapshotFormat || !table.version)
        reader.fail();
    readValues(reader, data.hosts, &HostRecord::host);
    readValues(reader, data.zones, &ZoneRecord::zone);
    readValues(reader, data.jobs, &CellJob::number);
    data.requests.read(reader);
    reader(data.nextJob, data.revision, data.nowMs);
    if (auto finished = reader.finish(); !finished)
        return finished;
    table.outcomes.assign(outcomes.begin(), outcomes.end());
    data.table.restore(std::move(table));
    m_data = std::move(data);
    rebuildIndexes();
    return {};
}

uint64_t CellState::digest() const
{
    const auto bytes = snapshot();
    return hashBytes(bytes);
}

const HostRecord* CellState::findHost(const HostId& host) const
{
    const auto found = m_data.hosts.find(host);
    return found == m_data.hosts.end() ? nullptr : &found->second;
}

const ZoneRecord* CellState::findZone(const ZoneId& zone) const
{
    const auto found = m_data.zones.find(zone);
    return found == m_data.zones.end() ? nullptr : &found->second;
}

const CellJob* CellState::findJob(uint32_t number) const
{
    const auto found = m_data.jobs.find(number);
    return found == m_data.jobs.end() ? nullptr : &found->second;
}

CellJob* CellState::findMutable(uint32_t number)
{
    const auto found = m_data.jobs.find(number);
    return found == m_data.jobs.end() ? nullptr : &found->second;
}

const std::set<uint32_t>& CellState::jobsOfZone(const ZoneId& zone) const
{
    static const std::set<uint32_t> none;
    const auto found = m_jobsOfZone.find(zone);
    return found == m_jobsOfZone.end() ? none : found->second;
}

Expected<JobStatus> CellState::jobStatus(const JobId& id) const
{
    const auto number = parseJobId(id, ZoneId("cell"));
    const CellJob* job = number ? findJob(number->number) : nullptr;
    if (!job)
        return makeError(ErrorCode::NotFound,
            fmt::format("job {} is not known; jobs are kept for 10 minutes after their end", id.value()));
    JobStatus status { .job = id,
        .row = job->spec.row,
        .team = job->spec.team,
        .kind = job->spec.kind,
        .phase = job->phase == CellJobPhase::Ended ? JobPhase::Ended : JobPhase::Queued,
        .zone = {},
        .epoch = job->epoch,
        .tasks = job->spec.tasks,
        .queuedTasks = job->phase == CellJobPhase::Ended ? 0 : job->spec.tasks,
        .outcome = {} };
    if (!job->zone.isEmpty())
        status.zone = job->zone;
    if (job->phase == CellJobPhase::Ended)
        status.outcome = job->outcome;
    return status;
}

CommandResult CellState::run(const SetTable& command)
{
    advanceTo(command.atMs);
    auto result = m_data.table.set(command.change);
    // A change to keep takes effect at once, since it only forbids moving the job. A change to stop takes effect with
    // ConfirmCutOff, because a zone that is cut off has not received it and keeps the job running.
    for (const uint32_t number : m_openJobs) {
        CellJob& job = m_data.jobs.at(number);
        if (cutOffRuleOf(job) == CutOffRule::Keep && job.cutOff != CutOffRule::Keep) {
            job.cutOff = CutOffRule::Keep;
            m_changes.add({ .number = number, .isCellJob = true });
        }
    }
    return result;
}

CommandResult CellState::run(const RecordHost& command)
{
    advanceTo(command.atMs);
    const HostRecord* known = findHost(command.host);
    if (known && command.storeId == known->storeId && command.incarnation < known->incarnation)
        return conflict(fmt::format("host {} is recorded with incarnation {}, which is newer than {}",
            command.host.value(), known->incarnation, command.incarnation));
    // Requests started by an earlier incarnation of the host may have run, so their outcome is unknown.
    if (known && (command.incarnation != known->incarnation || command.storeId != known->storeId))
        m_data.requests.abandon(command.host, m_data.nowMs);
    m_data.hosts.insert_or_assign(command.host,
        HostRecord { .host = command.host,
            .zone = command.zone,
            .storeId = command.storeId,
            .incarnation = command.incarnation,
            .sinceMs = m_data.nowMs });
    m_data.zones.try_emplace(command.zone, ZoneRecord { .zone = command.zone, .sinceMs = m_data.nowMs });
    return CommandDone {};
}

CommandResult CellState::run(const ForgetHosts& command)
{
    for (const auto& host : command.hosts) {
        m_data.requests.abandon(host, m_data.nowMs);
        m_data.hosts.erase(host);
    }
    return CommandDone {};
}

CommandResult CellState::run(const SetZoneGroup& command)
{
    advanceTo(command.atMs);
    auto& zone = m_data.zones.try_emplace(command.zone, ZoneRecord { .zone = command.zone }).first->second;
    if (zone.generation != command.expectedGeneration)
        return conflict(fmt::format("the group of zone {} has generation {}, not {}", command.zone.value(),
            zone.generation, command.expectedGeneration));
    ++zone.generation;
    zone.members = command.members;
    zone.sinceMs = m_data.nowMs;
    if (!command.startsEmpty)
        return CommandDone {};
    // The state of the group is lost, so its jobs are released and can be assigned to any zone.
    ++zone.epoch;
    const auto jobs = jobsOfZone(command.zone);
    for (const uint32_t number : jobs)
        release(m_data.jobs.at(number), m_data.nowMs);
    return CommandDone {};
}

CommandResult CellState::run(const SubmitCellJob& command)
{
    advanceTo(command.atMs);
    const auto idStatus = m_data.requests.idStatus(command.request, command.contentHash, m_data.nowMs);
    if (idStatus == RequestIdStatus::Known) {
        const auto* record = m_data.requests.find(command.request);
        if (!record->job.number)
            return RequestKnown { .isRunning = record->phase == RequestPhase::Started, .outcome = record->outcome };
        return JobAccepted { .job = makeJobId(record->job, {}) };
    }
    if (idStatus != RequestIdStatus::New)
        return requestIdError(idStatus, command.request);
    if (const auto checked = checkJobSpec(command.spec); !checked)
        return checked.error();
    if (m_data.jobs.size() >= maxJobs)
        return Error { .code = ErrorCode::Overloaded,
            .message = fmt::format("{} jobs are recorded, which is the limit", maxJobs) };

    const JobNumber number { .number = m_data.nextJob++, .isCellJob = true };
    const JobId id = makeJobId(number, {});
    auto& job = m_data.jobs[number.number];
    job.number = number.number;
    job.spec = command.spec;
    job.request = command.request;
    job.submittedMs = command.atMs;
    m_openJobs.insert(number.number);
    moveTo(job, CellJobPhase::Queued, {}, "submitted", m_data.nowMs);
    m_data.requests.openJob(command.request, command.contentHash, number,
        { .kind = OutcomeKind::Accepted,
            .reason = "accepted",
            .message = "The job is recorded.",
            .response = id.value() });
    return JobAccepted { .job = id };
}

CommandResult CellState::run(const AssignCellJobs& command)
{
    advanceTo(command.atMs);
    BatchDone done;
    for (const auto& entry : command.entries) {
        CellJob* job = findMutable(entry.job);
        const bool isAssignable = job && job->phase == CellJobPhase::Queued && job->epoch == entry.epoch;
        done.epochs.push_back(isAssignable ? job->epoch + 1 : 0);
        if (!isAssignable)
            continue;
        ++job->epoch;
        job->cutOff = cutOffRuleOf(*job);
        moveTo(*job, CellJobPhase::Assigned, entry.zone, "assigned", m_data.nowMs);
    }
    return done;
}

CommandResult CellState::run(const ReturnCellJobs& command)
{
    advanceTo(command.atMs);
    BatchDone done;
    for (const auto& entry : command.entries) {
        CellJob* job = findMutable(entry.job);
        const bool isCurrent = job && job->epoch == entry.epoch
            && (job->phase == CellJobPhase::Assigned || job->phase == CellJobPhase::Cancelling);
        done.epochs.push_back(isCurrent ? entry.epoch : 0);
        if (!isCurrent)
            continue;
        if (entry.canNeverRun)
            job->refusedBy.push_back(job->zone);
        const bool isRefused = std::all_of(m_data.zones.begin(), m_data.zones.end(), [&](const auto& zone) {
            return std::find(job->refusedBy.begin(), job->refusedBy.end(), zone.first) != job->refusedBy.end();
        });
        if (isRefused && entry.canNeverRun)
            finish(*job, outcomeOf(OutcomeKind::Refused, "can_never_run", entry.reason), m_data.nowMs);
        else
            requeue(*job, entry.reason, m_data.nowMs);
    }
    return done;
}

CommandResult CellState::run(const ReleaseZone& command)
{
    advanceTo(command.atMs);
    BatchDone done;
    const auto zone = m_data.zones.find(command.zone);
    if (zone == m_data.zones.end() || zone->second.epoch != command.epoch)
        return conflict(fmt::format("zone {} is not at epoch {}", command.zone.value(), command.epoch));
    ++zone->second.epoch;
    const auto jobs = jobsOfZone(command.zone);
    for (const uint32_t number : jobs) {
        CellJob& job = m_data.jobs.at(number);
        if (job.cutOff == CutOffRule::Stop)
            release(job, m_data.nowMs);
        done.epochs.push_back(job.cutOff == CutOffRule::Stop ? job.epoch : 0);
    }
    return done;
}

CommandResult CellState::run(const FinishCellJobs& command)
{
    advanceTo(command.atMs);
    BatchDone done;
    for (const auto& entry : command.entries) {
        CellJob* job = findMutable(entry.job);
        const bool isCurrent = job && job->epoch == entry.epoch
            && (job->phase == CellJobPhase::Assigned || job->phase == CellJobPhase::Cancelling);
        done.epochs.push_back(isCurrent ? entry.epoch : 0);
        if (isCurrent)
            finish(*job, entry.outcome, m_data.nowMs);
    }
    return done;
}

CommandResult CellState::run(const CancelCellJobs& command)
{
    advanceTo(command.atMs);
    BatchDone done;
    for (const uint32_t number : command.jobs) {
        CellJob* job = findMutable(number);
        const bool isOpen = job && job->phase != CellJobPhase::Ended;
        done.epochs.push_back(isOpen ? std::max<uint64_t>(job->epoch, 1) : 0);
        if (!isOpen)
            continue;
        if (job->phase == CellJobPhase::Queued)
            finish(*job, outcomeOf(OutcomeKind::Cancelled, "cancelled", "The job was cancelled before it started."),
                m_data.nowMs);
        else
            moveTo(*job, CellJobPhase::Cancelling, job->zone, "cancelled", m_data.nowMs);
    }
    return done;
}

CommandResult CellState::run(const ConfirmCutOff& command)
{
    // Only the current table version can be confirmed; the zone confirms a later one with another command.
    if (command.tableVersion != m_data.table.version())
        return conflict(
            fmt::format("table version {} is in force, not {}", m_data.table.version(), command.tableVersion));
    for (const uint32_t number : jobsOfZone(command.zone)) {
        CellJob& job = m_data.jobs.at(number);
        if (job.cutOff == cutOffRuleOf(job))
            continue;
        job.cutOff = cutOffRuleOf(job);
        m_changes.add({ .number = number, .isCellJob = true });
    }
    return CommandDone {};
}

CommandResult CellState::run(const StartRequest& command)
{
    advanceTo(command.atMs);
    return startRequest(m_data.requests, command, m_data.nowMs);
}

CommandResult CellState::run(const EndRequest& command)
{
    advanceTo(command.atMs);
    return endRequest(m_data.requests, command, m_data.nowMs);
}

CommandResult CellState::run(const AbandonRequests& command)
{
    advanceTo(command.atMs);
    m_data.requests.abandon(command.host, m_data.nowMs);
    return CommandDone {};
}

CommandResult CellState::run(const Expire& command)
{
    advanceTo(command.atMs);
    m_data.requests.expire(m_data.nowMs);
    std::erase_if(m_data.jobs, [&](const auto& entry) {
        const CellJob& job = entry.second;
        return job.phase == CellJobPhase::Ended && job.sinceMs + retentionMs < m_data.nowMs;
    });
    return CommandDone {};
}

// Logical time is monotonic, so a new leader with a slower clock cannot change a retention time.
void CellState::advanceTo(UnixMs atMs) { m_data.nowMs = std::max(m_data.nowMs, atMs); }

CutOffRule CellState::cutOffRuleOf(const CellJob& job) const
{
    const Row* row = m_data.table.findClass(job.spec.row);
    return row ? row->cutOff : job.cutOff;
}

void CellState::moveTo(CellJob& job, CellJobPhase phase, ZoneId zone, std::string reason, UnixMs atMs)
{
    const uint32_t number = job.number;
    if (!job.zone.isEmpty())
        m_jobsOfZone[job.zone].erase(number);
    job.phase = phase;
    job.zone = std::move(zone);
    job.reason = std::move(reason);
    job.sinceMs = atMs;
    if (phase == CellJobPhase::Queued)
        m_queuedJobs.insert(number);
    else
        m_queuedJobs.erase(number);
    if (phase == CellJobPhase::Ended)
        m_openJobs.erase(number);
    else if (!job.zone.isEmpty())
        m_jobsOfZone[job.zone].insert(number);
    m_changes.add({ .number = number, .isCellJob = true });
}

void CellState::requeue(CellJob& job, const std::string& reason, UnixMs atMs)
{
    if (job.phase == CellJobPhase::Cancelling)
        finish(job, outcomeOf(OutcomeKind::Cancelled, "cancelled", "The job was cancelled."), atMs);
    else
        moveTo(job, CellJobPhase::Queued, {}, reason, atMs);
}

void CellState::release(CellJob& job, UnixMs atMs)
{
    if (!job.spec.isRepeatable)
        finish(job,
            outcomeOf(OutcomeKind::Unknown, "zone_lost",
                fmt::format("Zone {} was lost; the job may have run there and is not repeatable.", job.zone.value())),
            atMs);
    else
        requeue(job, "zone_lease_expired", atMs);
}

void CellState::finish(CellJob& job, Outcome outcome, UnixMs atMs)
{
    m_data.requests.closeJob(job.request, atMs);
    job.outcome = std::move(outcome);
    // The command is not needed after the end.
    job.spec.command = {};
    moveTo(job, CellJobPhase::Ended, job.zone, job.outcome.reason, atMs);
}

void CellState::rebuildIndexes()
{
    m_openJobs.clear();
    m_queuedJobs.clear();
    m_jobsOfZone.clear();
    for (const auto& [number, job] : m_data.jobs) {
        if (job.phase == CellJobPhase::Ended)
            continue;
        m_openJobs.insert(number);
        if (job.phase == CellJobPhase::Queued)
            m_queuedJobs.insert(number);
        else
            m_jobsOfZone[job.zone].insert(number);
    }
    m_changes.invalidateCursors();
}

} // namespace hickoryknot
