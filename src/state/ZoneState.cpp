#include "state/ZoneState.h"

#include <algorithm>
#include <fmt/format.h>

#include "core/Assert.h"
#include "core/Hash.h"
#include "state/RequestExecution.h"
#include "state/StateFields.h"

namespace hickoryknot {

namespace {

uint32_t& taskCounter(ZoneJob& job, TaskPhase phase)
{
    switch (phase) {
    case TaskPhase::Queued:
        return job.queued;
    case TaskPhase::Assigned:
        return job.assigned;
    case TaskPhase::Finished:
        return job.finished;
    case TaskPhase::Failed:
        break;
    }
    return job.failed;
}

Outcome outcomeOf(OutcomeKind kind, std::string reason, std::string message)
{
    return { .kind = kind, .reason = std::move(reason), .message = std::move(message), .response = {} };
}

// The outcome of a job without assigned tasks that is cancelling or has no queued tasks.
Outcome finalOutcome(const ZoneJob& job)
{
    if (job.isOutcomeUnknown)
        return outcomeOf(OutcomeKind::Unknown, "task_result_lost",
            "A task that must not run twice may have run and its result is lost.");
    if (job.phase == ZoneJobPhase::Cancelling && job.finished < job.spec.tasks)
        return outcomeOf(OutcomeKind::Cancelled, "cancelled",
            fmt::format("The job was cancelled; {} of {} tasks had finished.", job.finished, job.spec.tasks));
    if (job.failed)
        return outcomeOf(OutcomeKind::Done, "task_failed",
            fmt::format("{} of {} tasks finished and {} failed for good.", job.finished, job.spec.tasks, job.failed));
    return outcomeOf(OutcomeKind::Done, "finished", fmt::format("All {} tasks finished.", job.spec.tasks));
}

} // namespace

ZoneState::ZoneState(ZoneId zone)
    : m_zone(std::move(zone))
{
    HICKORYKNOT_ASSERT(m_zone.value() != "cell", "the name 'cell' is the home of jobs without a zone");
}

std::string ZoneState::apply(uint64_t, std::string_view payload)
{
    const auto command = decodeZoneCommand(payload);
    return encodeCommandResult(command ? execute(*command) : CommandResult(command.error()));
}

CommandResult ZoneState::execute(const ZoneCommand& command)
{
    return std::visit([this](const auto& typed) { return run(typed); }, command);
}

const ZoneJob* ZoneState::findJob(JobNumber number) const
{
    const auto found = m_data.jobs.find(number);
    return found == m_data.jobs.end() ? nullptr : &found->second;
}

ZoneJob* ZoneState::findMutable(JobNumber number)
{
    const auto found = m_data.jobs.find(number);
    return found == m_data.jobs.end() ? nullptr : &found->second;
}

std::optional<uint32_t> ZoneState::findWorker(const WorkerId& worker) const
{
    const auto found = m_workerIndex.find(worker);
    return found == m_workerIndex.end() ? std::nullopt : std::optional(found->second);
}

std::optional<TaskKey> ZoneState::findAssignment(uint64_t epoch) const
{
    const auto found = m_assignments.find(epoch);
    return found == m_assignments.end() ? std::nullopt : std::optional(found->second);
}

Expected<JobStatus> ZoneState::jobStatus(const JobId& id) const
{
    const auto number = parseJobId(id, m_zone);
    const ZoneJob* job = number ? findJob(*number) : nullptr;
    if (!job)
        return makeError(ErrorCode::NotFound,
            fmt::format("job {} is not known in zone {}; jobs are kept for 10 minutes after their end", id.value(),
                m_zone.value()));
    JobStatus status { .job = id,
        .row = job->spec.row,
        .team = job->spec.team,
        .kind = job->spec.kind,
        .phase = job->phase == ZoneJobPhase::Ended ? JobPhase::Ended
            : job->assigned                        ? JobPhase::Running
                                                   : JobPhase::Queued,
        .zone = m_zone,
        .epoch = job->epoch,
        .tasks = job->spec.tasks,
        .queuedTasks = job->queued,
        .runningTasks = job->assigned,
        .succeededTasks = job->finished,
        .failedTasks = job->failed,
        .outcome = {} };
    if (job->phase == ZoneJobPhase::Ended)
        status.outcome = job->outcome;
    return status;
}

CommandResult ZoneState::run(const SubmitZoneJob& command)
{
    advanceTo(command.atMs);
    const auto idStatus = m_data.requests.idStatus(command.request, command.contentHash, m_data.nowMs);
    if (idStatus == RequestIdStatus::Known) {
        const auto* record = m_data.requests.find(command.request);
        if (!record->job.number)
            return RequestKnown { .isRunning = record->phase == RequestPhase::Started, .outcome = record->outcome };
        return JobAccepted { .job = makeJobId(record->job, m_zone) };
    }
    if (idStatus != RequestIdStatus::New)
        return requestIdError(idStatus, command.request);
    if (const auto checked = checkJobSpec(command.spec); !checked)
        return checked.error();
    if (m_data.jobs.size() >= maxJobs)
        return Error { .code = ErrorCode::Overloaded,
            .message = fmt::format("{} jobs are recorded, which is the limit", maxJobs) };

    const JobNumber number { .number = m_data.nextJob++ };
    const JobId id = makeJobId(number, m_zone);
    // Jobs with a home zone never move, so they keep running while the zone is cut off.
    addJob({ .number = number,
        .spec = command.spec,
        .request = command.request,
        .cutOff = CutOffRule::Keep,
        .submittedMs = command.atMs });
    m_data.requests.openJob(command.request, command.contentHash, number,
        { .kind = OutcomeKind::Accepted,
            .reason = "accepted",
            .message = "The job is recorded.",
            .response = id.value() });
    return JobAccepted { .job = id };
}

CommandResult ZoneState::run(const AdmitCellJobs& command)
{
    advanceTo(command.atMs);
    BatchDone done { .epochs = std::vector<uint64_t>(command.entries.size()) };
    if (command.tableVersion < m_data.cutOffVersion || command.cellRevision < m_data.cellRevision)
        return done;
    for (size_t i = 0; i < command.entries.size(); ++i) {
        const auto& entry = command.entries[i];
        const JobNumber number { .number = entry.job, .isCellJob = true };
        const ZoneJob* known = findJob(number);
        if (!checkJobSpec(entry.spec) || (known && (known->epoch >= entry.epoch || known->isOpen())))
            continue;
        eraseJob(number);
        addJob({ .number = number,
            .spec = entry.spec,
            .epoch = entry.epoch,
            .cutOff = entry.cutOff,
            .submittedMs = entry.submittedMs });
        done.epochs[i] = entry.epoch;
    }
    return done;
}

CommandResult ZoneState::run(const RecordWorkers& command)
{
    advanceTo(command.atMs);
    BatchDone done;
    for (const auto& entry : command.entries) {
        const auto known = findWorker(entry.worker);
        if (known && m_data.workers[*known].incarnation > entry.incarnation) {
            done.epochs.push_back(0);
            continue;
        }
        if (known && m_data.workers[*known].incarnation < entry.incarnation)
            endTasksAsLost(*known);
        auto& record = m_data.workers[known ? *known : addWorker(entry.worker)];
        record.incarnation = entry.incarnation;
        record.rack = entry.rack;
        record.capacity = entry.capacity;
        done.epochs.push_back(entry.incarnation);
    }
    return done;
}

CommandResult ZoneState::run(const ForgetWorkers& command)
{
    for (const auto& worker : command.workers) {
        const auto known = findWorker(worker);
        if (!known || m_data.workers[*known].assigned)
            continue;
        m_data.workers[*known] = {};
        m_workerIndex.erase(worker);
    }
    return CommandDone {};
}

CommandResult ZoneState::run(const PlaceTasks& command)
{
    advanceTo(command.atMs);
    BatchDone done { .epochs = std::vector<uint64_t>(command.entries.size()) };
    // Consecutive entries of one job form a group, because a gang is placed as a whole or not at all.
    for (size_t first = 0; first < command.entries.size();) {
        size_t end = first + 1;
        while (end < command.entries.size() && command.entries[end].job == command.entries[first].job)
            ++end;
        placeTasksOfJob(command, first, end, done.epochs);
        first = end;
    }
    return done;
}

void ZoneState::placeTasksOfJob(const PlaceTasks& command, size_t first, size_t end, std::vector<uint64_t>& epochs)
{
    ZoneJob* job = findMutable(command.entries[first].job);
    const bool isGang = job && job->spec.kind == JobKind::Gang;
    if (!job || (isGang && end - first != job->queued))
        return;
    bool isWhole = true;
    for (size_t i = first; i < end; ++i) {
        const bool fits = canPlace(*job, command.entries[i]);
        epochs[i] = fits ? place(*job, command.entries[i]) : 0;
        isWhole = isWhole && fits;
    }
    if (!isGang || isWhole)
        return;
    for (size_t i = first; i < end; ++i) {
        if (!epochs[i])
            continue;
        endAssignment(*job, command.entries[i].task, TaskPhase::Queued);
        epochs[i] = 0;
    }
}

CommandResult ZoneState::run(const EndTasks& command)
{
    advanceTo(command.atMs);
    BatchDone done;
    for (const auto& entry : command.entries)
        done.epochs.push_back(endTask(entry));
    return done;
}

CommandResult ZoneState::run(const CancelZoneJobs& command)
{
    advanceTo(command.atMs);
    BatchDone done;
    for (const auto number : command.jobs) {
        ZoneJob* job = findMutable(number);
        const bool isOpen = job && job->isOpen();
        done.epochs.push_back(isOpen ? std::max<uint64_t>(job->epoch, 1) : 0);
        if (!isOpen || job->phase != ZoneJobPhase::Active)
            continue;
        setPhase(*job, ZoneJobPhase::Cancelling, "cancelled");
        finishIfIdle(*job);
    }
    return done;
}

CommandResult ZoneState::run(const SupersedeJobs& command)
{
    advanceTo(command.atMs);
    m_data.cellRevision = std::max(m_data.cellRevision, command.cellRevision);
    BatchDone done;
    for (const uint32_t number : command.jobs) {
        ZoneJob* job = findMutable({ .number = number, .isCellJob = true });
        done.epochs.push_back(job ? job->epoch : 0);
        if (!job)
            continue;
        if (!job->isOpen()) {
            eraseJob(job->number);
            continue;
        }
        setPhase(*job, ZoneJobPhase::Superseded, "moved_by_cell");
        finishIfIdle(*job);
    }
    return done;
}

CommandResult ZoneState::run(const ReturnJobs& command)
{
    advanceTo(command.atMs);
    BatchDone done;
    for (const auto& entry : command.entries) {
        ZoneJob* job = findMutable({ .number = entry.job, .isCellJob = true });
        const bool mayReturn = job && job->phase == ZoneJobPhase::Active && !job->assigned
            && (job->spec.isRepeatable || !anyTaskMayHaveRun(*job));
        done.epochs.push_back(mayReturn ? job->epoch : 0);
        if (!mayReturn)
            continue;
        job->canNeverRun = entry.canNeverRun;
        setPhase(*job, ZoneJobPhase::Returned, entry.reason);
    }
    return done;
}

CommandResult ZoneState::run(const RefuseJobs& command)
{
    advanceTo(command.atMs);
    BatchDone done;
    for (const auto& entry : command.entries) {
        ZoneJob* job = findMutable(entry.job);
        const bool mayRefuse = job && !entry.job.isCellJob && job->phase == ZoneJobPhase::Active && !job->assigned
            && !anyTaskMayHaveRun(*job);
        done.epochs.push_back(mayRefuse ? 1 : 0);
        if (mayRefuse)
            finish(*job, outcomeOf(OutcomeKind::Refused, "can_never_run", entry.reason));
    }
    return done;
}

CommandResult ZoneState::run(const ForgetCellJobs& command)
{
    m_data.cellRevision = std::max(m_data.cellRevision, command.cellRevision);
    for (const uint32_t number : command.jobs) {
        const ZoneJob* job = findJob({ .number = number, .isCellJob = true });
        if (job && !job->isOpen())
            eraseJob(job->number);
    }
    return CommandDone {};
}

CommandResult ZoneState::run(const RecordCutOff& command)
{
    if (command.tableVersion < m_data.cutOffVersion)
        return Error { .code = ErrorCode::Conflict, .message = "rules of a newer table version are recorded" };
    m_data.cutOffVersion = command.tableVersion;
    for (const auto& entry : command.entries) {
        ZoneJob* job = findMutable(entry.job);
        if (!job)
            continue;
        job->cutOff = entry.cutOff;
        m_changes.add(entry.job);
    }
    return CommandDone {};
}

CommandResult ZoneState::run(const StartRequest& command)
{
    advanceTo(command.atMs);
    return startRequest(m_data.requests, command, m_data.nowMs);
}

CommandResult ZoneState::run(const EndRequest& command)
{
    advanceTo(command.atMs);
    return endRequest(m_data.requests, command, m_data.nowMs);
}

CommandResult ZoneState::run(const AbandonRequests& command)
{
    advanceTo(command.atMs);
    m_data.requests.abandon(command.host, m_data.nowMs);
    return CommandDone {};
}

CommandResult ZoneState::run(const Expire& command)
{
    advanceTo(command.atMs);
    m_data.requests.expire(m_data.nowMs);
    // Ended cell jobs stay until the cell has recorded their outcome.
    std::erase_if(m_data.jobs, [&](const auto& entry) {
        const ZoneJob& job = entry.second;
        return job.phase == ZoneJobPhase::Ended && !job.number.isCellJob && job.sinceMs + retentionMs < m_data.nowMs;
    });
    return CommandDone {};
}

// Logical time is monotonic, so a new leader with a slower clock cannot change a retention time.
void ZoneState::advanceTo(UnixMs atMs) { m_data.nowMs = std::max(m_data.nowMs, atMs); }

bool ZoneState::anyTaskMayHaveRun(const ZoneJob& job) const
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [](const TaskRecord& task) { return task.mayHaveRun; });
}

void ZoneState::addJob(ZoneJob job)
{
    job.tasks.resize(job.spec.tasks);
    job.queued = job.spec.tasks;
    auto& added = m_data.jobs.insert_or_assign(job.number, std::move(job)).first->second;
    setPhase(added, ZoneJobPhase::Active, "admitted");
}

void ZoneState::eraseJob(JobNumber number)
{
    m_data.jobs.erase(number);
    m_openJobs.erase(number);
    m_reportable.erase(number);
    m_changes.add(number);
}

uint32_t ZoneState::addWorker(const WorkerId& worker)
{
    auto& workers = m_data.workers;
    auto free
        = std::find_if(workers.begin(), workers.end(), [](const auto& record) { return record.worker.isEmpty(); });
    if (free == workers.end())
        free = workers.insert(workers.end(), WorkerRecord {});
    free->worker = worker;
    const auto index = static_cast<uint32_t>(free - workers.begin());
    m_workerIndex[worker] = index;
    return index;
}

void ZoneState::endTasksAsLost(uint32_t worker)
{
    std::vector<uint64_t> epochs;
    for (const auto& [epoch, key] : m_assignments) {
        if (m_data.jobs.at(key.job).tasks[key.task].worker == worker)
            epochs.push_back(epoch);
    }
    // The iteration order of a hash map differs between replicas.
    std::sort(epochs.begin(), epochs.end());
    for (const uint64_t epoch : epochs) {
        const TaskKey key = m_assignments.at(epoch);
        endTask({ .job = key.job, .task = key.task, .epoch = epoch, .result = TaskResult::Lost });
    }
}

void ZoneState::setPhase(ZoneJob& job, ZoneJobPhase phase, std::string reason)
{
    job.phase = phase;
    job.reason = std::move(reason);
    job.sinceMs = m_data.nowMs;
    if (job.isOpen())
        m_openJobs.insert(job.number);
    else
        m_openJobs.erase(job.number);
    if (!job.isOpen() && job.number.isCellJob)
        m_reportable.insert(job.number);
    m_changes.add(job.number);
}

void ZoneState::setTaskPhase(ZoneJob& job, TaskRecord& task, TaskPhase phase)
{
    --taskCounter(job, task.phase);
    ++taskCounter(job, phase);
    task.phase = phase;
    task.sinceMs = m_data.nowMs;
    m_changes.add(job.number);
}

bool ZoneState::canPlace(const ZoneJob& job, const PlaceTasks::Entry& entry) const
{
    if (job.phase != ZoneJobPhase::Active || entry.task >= job.tasks.size())
        return false;
    const TaskRecord& task = job.tasks[entry.task];
    if (task.phase != TaskPhase::Queued || (task.mayHaveRun && !job.spec.isRepeatable))
        return false;
    const auto index = findWorker(entry.worker);
    if (!index || m_data.workers[*index].incarnation != entry.incarnation)
        return false;
    const WorkerRecord& worker = m_data.workers[*index];
    return (worker.used + job.spec.perTask).fitsInto(worker.capacity);
}

uint64_t ZoneState::place(ZoneJob& job, const PlaceTasks::Entry& entry)
{
    TaskRecord& task = job.tasks[entry.task];
    task.epoch = m_data.nextEpoch++;
    task.worker = *findWorker(entry.worker);
    WorkerRecord& worker = m_data.workers[task.worker];
    worker.used += job.spec.perTask;
    ++worker.assigned;
    m_assignments[task.epoch] = { .job = job.number, .task = entry.task };
    setTaskPhase(job, task, TaskPhase::Assigned);
    return task.epoch;
}

void ZoneState::endAssignment(ZoneJob& job, uint32_t taskIndex, TaskPhase phase)
{
    TaskRecord& task = job.tasks[taskIndex];
    WorkerRecord& worker = m_data.workers[task.worker];
    worker.used -= job.spec.perTask;
    --worker.assigned;
    m_assignments.erase(task.epoch);
    setTaskPhase(job, task, phase);
}

uint64_t ZoneState::endTask(const EndTasks::Entry& entry)
{
    ZoneJob* job = findMutable(entry.job);
    if (!job || entry.task >= job->tasks.size())
        return 0;
    TaskRecord& task = job->tasks[entry.task];
    if (task.phase != TaskPhase::Assigned || task.epoch != entry.epoch)
        return 0;
    task.exitCode = entry.exitCode;
    task.mayHaveRun = task.mayHaveRun || entry.result != TaskResult::NeverStarted;
    endAssignment(*job, entry.task, phaseAfter(*job, task, entry.result));
    finishIfIdle(*job);
    return entry.epoch;
}

TaskPhase ZoneState::phaseAfter(ZoneJob& job, TaskRecord& task, TaskResult result)
{
    const bool isService = job.spec.kind == JobKind::Service;
    if (result == TaskResult::NeverStarted)
        return TaskPhase::Queued;
    if (!job.spec.isRepeatable) {
        // Not retried, whatever the result.
        job.isOutcomeUnknown = job.isOutcomeUnknown || result == TaskResult::Lost || result == TaskResult::Preempted;
        return result == TaskResult::Finished ? TaskPhase::Finished : TaskPhase::Failed;
    }
    if (result == TaskResult::Finished)
        return isService ? TaskPhase::Queued : TaskPhase::Finished;
    if (result == TaskResult::Failed && !isService)
        return ++task.failures >= maxFailures ? TaskPhase::Failed : TaskPhase::Queued;
    if (result == TaskResult::Lost && !isService)
        return ++task.losses >= maxLosses ? TaskPhase::Failed : TaskPhase::Queued;
    return TaskPhase::Queued;
}

// Ends or removes an open job that has no assigned tasks and will not place any more.
void ZoneState::finishIfIdle(ZoneJob& job)
{
    if (job.assigned || !job.isOpen())
        return;
    if (job.phase == ZoneJobPhase::Superseded)
        eraseJob(job.number);
    else if (job.phase == ZoneJobPhase::Cancelling || !job.queued)
        finish(job, finalOutcome(job));
}

void ZoneState::finish(ZoneJob& job, Outcome outcome)
{
    if (!job.request.isEmpty())
        m_data.requests.closeJob(job.request, m_data.nowMs);
    job.outcome = std::move(outcome);
    // The counts are sufficient for an ended job.
    job.tasks = {};
    job.spec.command = {};
    setPhase(job, ZoneJobPhase::Ended, job.outcome.reason);
}

void ZoneState::rebuildIndexes()
{
    m_openJobs.clear();
    m_reportable.clear();
    m_workerIndex.clear();
    m_assignments.clear();
    for (const auto& [number, job] : m_data.jobs) {
        if (job.isOpen())
            m_openJobs.insert(number);
        else if (number.isCellJob)
            m_reportable.insert(number);
        for (uint32_t i = 0; i < job.tasks.size(); ++i) {
            if (job.tasks[i].phase == TaskPhase::Assigned)
                m_assignments[job.tasks[i].epoch] = { .job = number, .task = i };
        }
    }
    for (uint32_t i = 0; i < m_data.workers.size(); ++i) {
        if (!m_data.workers[i].worker.isEmpty())
            m_workerIndex[m_data.workers[i].worker] = i;
    }
    m_changes.invalidateCursors();
}

} // namespace hickoryknot
