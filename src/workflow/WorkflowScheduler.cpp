#include "workflow/WorkflowScheduler.h"

#include <algorithm>

#include "workflow/SchedulerObserver.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

namespace {

/// Multiple of the objective after which the result of a workflow has no value.
constexpr int64_t expiryObjectives = 3;
/// Maximum number of records removed by one command; keeps log entries small.
constexpr size_t maxRemovedRecords = 200;
/// Workers without runs are removed after this time without contact; several times the longest partition.
constexpr Duration workerRemovalAge = 60s;
/// Interval between searches for workers to remove; stale ones only use memory.
constexpr Duration workerCleanupPeriod = 250ms;
/// Maximum time for which the record of a first start waits for other commands; short against the time for which the
/// number of pending workflows may be outdated.
constexpr Duration maxStartRecordDelay = 500ms;
/// Maximum number of uncommitted batches; further placements wait, so that commits do not delay each other.
constexpr size_t maxBatchesInFlight = 4;

int64_t toMs(WallTime wall) { return wall.time_since_epoch() / 1ms; }

/// Time from acceptance within which a workflow meets its objective.
Duration objectiveOf(const WorkflowSpec& spec, const Queue& queue, const std::vector<Duration>& runTimes)
{
    Duration criticalPath { 0 };
    for (uint32_t step = 0; step < spec.steps.size(); ++step)
        criticalPath = std::max(criticalPath, criticalPathLengthFrom(spec, step, runTimes));
    return criticalPath * static_cast<int64_t>(queue.stretchPermille) / 1000 + queue.targetLatency;
}

} // namespace

WorkflowScheduler::WorkflowScheduler(
    const SchedulerSettings& settings, WorkflowState& state, SchedulerObserver& observer)
    : m_settings(settings)
    , m_state(state)
    , m_observer(observer)
    , m_workerTracker(m_settings)
    , m_runController(m_settings, state, m_workerTracker)
    , m_permissionTracker(m_settings)
    , m_planner(m_workerTracker, m_permissionTracker, m_runController)
    , m_admissionController({})
{
    m_state.setListener(this);
}

WorkflowScheduler::~WorkflowScheduler() { m_state.setListener(nullptr); }

void WorkflowScheduler::becomeLeader(uint64_t fence, TimePoint now, WallTime wall)
{
    resign();
    m_isLeader = true;
    m_fence = fence;
    for (const auto& [id, profile] : m_state.workers())
        m_workerTracker.addRecorded(profile, now);
    m_runController.takeOverRuns(fence, now);
    restoreRunTimes(now);
    for (const auto& [id, record] : m_state.workflows())
        m_changedWorkflows.insert(id);
    for (const auto& entry : m_state.earlyCancellations().entries())
        m_earlyCancellations.touch(entry.key, now);
    refreshChangedWorkflows(now, wall);
}

void WorkflowScheduler::resign()
{
    m_isLeader = false;
    m_runController.clear();
    m_workerTracker.clear();
    m_permissionTracker.clear();
    m_planner.resetShares();
    m_organisationAdmission.clear();
    m_changedWorkflows.clear();
    m_trackedWorkflows.clear();
    m_readySteps.clear();
    m_proposedWorkflows.clear();
    m_proposedTable = {};
    m_pendingByQueue.clear();
    m_timedWorkflows.clear();
    m_nextOccurrenceMs.clear();
    m_endedWorkflows.clear();
    m_earlyCancellations.clear();
    m_newEarlyCancellations.clear();
    m_unrecordedWorkers.clear();
    m_batchesInFlight.clear();
    m_tasksBeingPlaced.clear();
}

void WorkflowScheduler::onWorkflowChanged(const WorkflowId& id)
{
    if (!m_isLeader)
        return;
    m_proposedWorkflows.erase(id);
    m_changedWorkflows.insert(id);
}

void WorkflowScheduler::onTableChanged()
{
    if (!m_isLeader)
        return;
    for (const auto& [id, tracked] : m_trackedWorkflows)
        m_changedWorkflows.insert(id);
}

void WorkflowScheduler::onEarlyCancellation(const EarlyCancellation::Key& key)
{
    if (m_isLeader)
        m_newEarlyCancellations.insert(key);
}

bool WorkflowScheduler::keepEndedWorkflow(const WorkflowId& id, TimePoint now)
{
    if (!m_endedWorkflows.contains(id))
        return false;
    m_endedWorkflows.touch(id, now);
    return true;
}

bool WorkflowScheduler::keepEarlyCancellation(const EarlyCancellation::Key& key, TimePoint now)
{
    if (!m_earlyCancellations.contains(key))
        return false;
    m_earlyCancellations.touch(key, now);
    return true;
}

bool WorkflowScheduler::wasCancelledEarly(
    const WorkflowId& id, const OrganisationName& caller, const QueueName& queue) const
{
    return m_state.earlyCancellations().covers(id, caller, queue, m_state.table());
}

void WorkflowScheduler::onAcceptanceProposed(const AcceptWorkflow& command, TimePoint now)
{
    const Queue* queue = m_state.table().find(command.queue);
    if (!m_isLeader || !queue || command.spec.isTimed())
        return;
    const auto [entry, isNew] = m_proposedWorkflows.try_emplace(command.id);
    if (!isNew)
        return;
    ProposedWorkflow& proposed = entry->second;
    proposed.spec = command.spec;
    proposed.proposedAt = now;
    const auto runTimes = learnedRunTimes(queue->name, proposed.spec);
    const Duration objective = objectiveOf(proposed.spec, *queue, runTimes);
    for (uint32_t step = 0; step < proposed.spec.steps.size(); ++step) {
        const StepSpec& spec = proposed.spec.steps[step];
        if (!spec.dependencies.empty())
            continue;
        ReadyStep& ready = proposed.firstSteps.emplace_back(ReadyStep { .ref = { command.id, 0, step },
            .spec = &spec,
            .organisation = command.organisation,
            .queue = *queue,
            .tasks = {},
            .isAccepted = false,
            .deadline = now + objective,
            .expiresAt = now + objective * expiryObjectives,
            .criticalPath = criticalPathLengthFrom(proposed.spec, step, runTimes),
            .learnedRunTime = m_settings.learnsRunTimes ? std::optional(runTimes[step]) : std::nullopt,
            .readySince = now,
            .avoidedWorkers = {} });
        for (uint32_t index = 0; index < spec.count; ++index)
            ready.tasks.push_back({ .index = index, .nextRun = 1 });
    }
}

void WorkflowScheduler::onTableProposed(const QueueTable& table)
{
    if (!m_isLeader || table.version <= m_proposedTable.version)
        return;
    m_proposedTable = { .version = table.version, .queues = {} };
    for (const auto& queue : table.queues)
        m_proposedTable.queues.insert(queue.name);
}

bool WorkflowScheduler::isQueueBeingRemoved(const QueueName& name) const
{
    return m_proposedTable.version > m_state.table().version && !m_proposedTable.queues.contains(name);
}

// Also a pool that was removed from the table: its workers run what was accepted before, and are shut down later.
bool WorkflowScheduler::isPoolInUse(const WorkerProfile& profile) const
{
    const auto& removed = m_state.removedQueues();
    const auto recorded = m_state.workers().find(profile.incarnation.worker);
    return m_state.table().findPool(profile.pool) || std::any_of(removed.begin(), removed.end(), [&](const auto& item) {
        return item.second.pool == profile.pool;
    }) || (recorded != m_state.workers().end() && recorded->second.pool == profile.pool);
}

Expected<void> WorkflowScheduler::onWorkerReport(const WorkerReport& report, TimePoint now)
{
    if (!m_isLeader)
        return {};
    if (!m_state.table().version)
        return makeError(ErrorCode::Unavailable, "there is no queue table yet");
    if (!isPoolInUse(report.profile))
        return makeError(ErrorCode::InvalidArgument, "the queue table has no pool " + report.profile.pool.value());
    const auto result = m_workerTracker.applyReport(report, now);
    if (result != WorkerTracker::ReportResult::Stale && !isRecorded(report))
        m_unrecordedWorkers.insert(report.profile.incarnation.worker);
    return {};
}

bool WorkflowScheduler::isRecorded(const WorkerReport& report) const
{
    const auto known = m_state.workers().find(report.profile.incarnation.worker);
    return (known != m_state.workers().end() && known->second.isLike(report.profile))
        || m_workerTracker.isSuperseded(report.profile.incarnation);
}

void WorkflowScheduler::onWorkerLeaving(const WorkerId& id, TimePoint now)
{
    if (const TrackedWorker* worker = m_isLeader ? m_workerTracker.current(id) : nullptr)
        m_runController.onWorkerLeaving(worker->incarnation(), now);
}

void WorkflowScheduler::onStartResponse(
    const StartRunRequest& request, const RunResponse& response, TimePoint sentAt, TimePoint now)
{
    if (!m_isLeader || request.fence != m_fence)
        return;
    m_runController.onStartResponse(request, response, sentAt, now);
    const TrackedWorker* worker = m_workerTracker.find(request.incarnation);
    if (worker && response.status == WorkerRequestStatus::NoPermission)
        m_permissionTracker.onTokenRejected(request.run.task.step, *worker);
}

void WorkflowScheduler::onStopResponse(
    const StopRunRequest& request, const RunResponse& response, TimePoint sentAt, TimePoint now)
{
    if (m_isLeader && request.fence == m_fence)
        m_runController.onStopResponse(request, response, sentAt, now);
}

void WorkflowScheduler::onPollResponse(
    const PollRequest& request, const Expected<PollResponse>& response, TimePoint sentAt, TimePoint now)
{
    if (m_isLeader && request.fence == m_fence)
        m_runController.onPollResponse(request, response, sentAt, now);
}

void WorkflowScheduler::onPermissionResponse(
    const PermissionRequest& request, const Expected<PermissionResponse>& response, TimePoint now)
{
    if (m_isLeader)
        m_permissionTracker.onResponse(request, response, now);
}

WorkflowScheduler::Output WorkflowScheduler::advance(TimePoint now, WallTime wall)
{
    Output output;
    if (!m_isLeader)
        return output;
    refreshChangedWorkflows(now, wall);
    m_runController.advance(now, output.requests);
    for (const auto& moved : m_runController.drainMovedRuns())
        m_observer.onRunMoved(moved.run, moved.to, moved.isStopped);

    Batch batch;
    EndRuns ends { .entries = m_runController.drainEnds() };
    for (const auto& end : ends.entries) {
        batch.ended.push_back(end.run);
        const TrackedRun* run = m_runController.find(end.run);
        if (!run)
            continue;
        m_observer.onRunEnded(end.run, run->incarnation, end.outcome);
        learnFromEnd(*run, end.outcome, now);
        const auto tracked = m_trackedWorkflows.find(end.run.task.step.workflow);
        if (end.outcome == RunOutcome::Failed && tracked != m_trackedWorkflows.end())
            tracked->second.failedWorkers[end.run.task.step].insert(run->incarnation.worker);
    }
    batch.receivedEnds = m_runController.receivedEnds();
    if (!ends.entries.empty())
        output.commands.emplace_back(std::move(ends));
    beginDueOccurrences(output.commands, wall);
    recordWorkers(output.commands);
    removeStaleWorkers(output.commands, now);
    removeEndedWorkflows(output.commands, now);
    removeEarlyCancellations(output.commands, now);
    refreshSpeeds(now);
    if (m_batchesInFlight.size() < maxBatchesInFlight)
        placeReadySteps(output, batch, now);

    recordStarts(output.commands, now);
    recordRunTimes(output.commands, now);
    // Ends of runs that are not in the recorded state need no log entry.
    const bool areEndsInFlight = std::any_of(m_batchesInFlight.begin(), m_batchesInFlight.end(),
        [](const auto& item) { return !item.second.ended.empty(); });
    if (batch.ended.empty() && !areEndsInFlight && !batch.receivedEnds.ends.empty())
        m_runController.onEndsCommitted(batch.receivedEnds);
    if (output.commands.empty())
        return output;
    output.batch = m_nextBatch++;
    m_batchesInFlight.emplace(output.batch, std::move(batch));
    return output;
}

void WorkflowScheduler::onBatchCommitted(uint64_t number, TimePoint now)
{
    const auto found = m_batchesInFlight.find(number);
    if (!m_isLeader || found == m_batchesInFlight.end())
        return;
    const Batch batch = std::move(found->second);
    m_batchesInFlight.erase(found);
    for (const auto& run : batch.ended)
        m_runController.onEndCommitted(run);
    m_runController.onEndsCommitted(batch.receivedEnds);
    for (const auto& run : batch.placed) {
        const WorkflowRecord* record = m_state.find(run.task.step.workflow);
        const TaskRecord* task = record ? record->find(run.task) : nullptr;
        m_tasksBeingPlaced.erase(run.task);
        m_runController.onPlacementCommitted(run, task && task->isPlaced && task->run == run.run, now);
        m_changedWorkflows.insert(run.task.step.workflow);
    }
}

void WorkflowScheduler::refreshChangedWorkflows(TimePoint now, WallTime wall)
{
    const auto changed = std::exchange(m_changedWorkflows, {});
    for (const auto& id : changed)
        refreshWorkflow(id, now, wall);
}

Queue WorkflowScheduler::queueOf(const WorkflowRecord& record) const
{
    if (const Queue* queue = m_state.findQueue(record))
        return *queue;
    Queue unknown;
    unknown.name = record.queue;
    unknown.pool = record.pool;
    unknown.maxAttempts = record.maxAttempts;
    // Without its priority, the work must not delay that of other queues.
    for (const auto& queue : m_state.table().queues)
        unknown.priority = std::max(unknown.priority, queue.priority);
    return unknown;
}

void WorkflowScheduler::removeReadySteps(TrackedWorkflow& tracked)
{
    for (const auto& step : tracked.ready)
        m_readySteps.erase(step);
    tracked.ready.clear();
    if (std::exchange(tracked.isPending, false))
        --m_pendingByQueue[tracked.queue];
}

void WorkflowScheduler::untrack(const WorkflowId& id)
{
    const auto known = m_trackedWorkflows.find(id);
    if (known == m_trackedWorkflows.end())
        return;
    removeReadySteps(known->second);
    m_trackedWorkflows.erase(known);
    m_learnedGangs.erase(id);
    if (const auto due = m_nextOccurrenceMs.find(id); due != m_nextOccurrenceMs.end()) {
        m_timedWorkflows.erase({ due->second, id });
        m_nextOccurrenceMs.erase(due);
    }
}

void WorkflowScheduler::refreshWorkflow(const WorkflowId& id, TimePoint now, WallTime wall)
{
    const WorkflowRecord* record = m_state.find(id);
    if (!record || !record->isActive()) {
        if (const auto known = m_trackedWorkflows.find(id); record && known != m_trackedWorkflows.end())
            m_observer.onWorkflowEnded(*record, now - known->second.acceptedAt);
        untrack(id);
        if (record && !m_endedWorkflows.contains(id))
            m_endedWorkflows.touch(id, now);
        if (record && record->placed && record->phase != WorkflowPhase::Completed)
            stopPlacedRuns(*record, now);
        return;
    }
    const auto [known, isNew] = m_trackedWorkflows.try_emplace(id);
    TrackedWorkflow& tracked = known->second;
    if (isNew) {
        // After a leader change only the wall clock shows the age of the workflow; wall clocks of hosts may differ by
        // seconds.
        const int64_t ageMs = std::clamp<int64_t>(toMs(wall) - record->acceptedMs, 0, 600'000);
        tracked.acceptedAt = now - ageMs * Duration(1ms);
    } else {
        removeReadySteps(tracked);
    }
    const Queue queue = queueOf(*record);
    tracked.priority = queue.priority;
    tracked.queue = record->queue;
    tracked.isPending = !record->hasStarted && !record->spec.isTimed();
    if (tracked.isPending)
        ++m_pendingByQueue[tracked.queue];
    collectReady(*record, tracked, now, wall);
    if (record->spec.isTimed() && record->begunOccurrences < record->spec.repeatCount) {
        const int64_t due
            = record->spec.firstMs + static_cast<int64_t>(record->begunOccurrences) * record->spec.intervalMs;
        const auto [entry, isFirst] = m_nextOccurrenceMs.try_emplace(id, due);
        if (!isFirst) {
            m_timedWorkflows.erase({ entry->second, id });
            entry->second = due;
        }
        m_timedWorkflows.insert({ due, id });
    } else if (const auto due = m_nextOccurrenceMs.find(id); due != m_nextOccurrenceMs.end()) {
        m_timedWorkflows.erase({ due->second, id });
        m_nextOccurrenceMs.erase(due);
    }
}

void WorkflowScheduler::collectReady(
    const WorkflowRecord& record, TrackedWorkflow& tracked, TimePoint now, WallTime wall)
{
    const Queue queue = queueOf(record);
    const auto runTimes = learnedRunTimes(record.queue, record.spec);
    const Duration objective = objectiveOf(record.spec, queue, runTimes);
    for (const auto& occurrence : record.occurrences) {
        const bool isBegun = std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
            [](const StepRecord& step) { return step.placed > 0 || step.open < step.tasks.size(); });
        TimePoint begin = tracked.acceptedAt;
        if (record.spec.isTimed()) {
            const int64_t due = record.spec.firstMs + occurrence.number * record.spec.intervalMs;
            begin = now - (toMs(wall) - due) * Duration(1ms);
        }
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const StepSpec& spec = record.spec.steps[step];
            const StepRef ref { record.id, occurrence.number, step };
            ReadyStep ready { .ref = ref,
                .spec = &spec,
                .organisation = record.organisation,
                .queue = queue,
                .tasks = readyTasks(record, occurrence, step),
                .isBegun = isBegun,
                .isSuspect = std::any_of(occurrence.steps[step].tasks.begin(), occurrence.steps[step].tasks.end(),
                    [](const TaskRecord& task) { return task.isSuspect(); }),
                .deadline = begin + objective,
                .expiresAt = begin + objective * expiryObjectives,
                .criticalPath = criticalPathLengthFrom(record.spec, step, runTimes),
                .learnedRunTime = m_settings.learnsRunTimes ? std::optional(runTimes[step]) : std::nullopt,
                .readySince = now,
                .avoidedWorkers = {} };
            if (ready.tasks.empty()) {
                tracked.readySince.erase(ref);
                if (occurrence.steps[step].isDone())
                    m_permissionTracker.removeStep(ref);
                continue;
            }
            ready.readySince = tracked.readySince.try_emplace(ref, now).first->second;
            if (const auto failed = tracked.failedWorkers.find(ref); failed != tracked.failedWorkers.end())
                ready.avoidedWorkers = failed->second;
            tracked.ready.push_back(ref);
            m_readySteps.insert_or_assign(ref, std::move(ready));
        }
    }
}

// Returns the tasks whose dependencies are done and that are neither placed nor being placed; for a gang, all tasks or
// none.
std::vector<ReadyStep::Task> WorkflowScheduler::readyTasks(
    const WorkflowRecord& record, const OccurrenceRecord& occurrence, uint32_t step) const
{
    const StepSpec& spec = record.spec.steps[step];
    const StepRecord& steps = occurrence.steps[step];
    const bool areDependenciesDone = std::all_of(spec.dependencies.begin(), spec.dependencies.end(),
        [&](uint32_t earlier) { return occurrence.steps[earlier].isDone(); });
    // All members of a gang's previous run must have ended before the gang starts again.
    if (!steps.open || !areDependenciesDone || (spec.isGang && steps.placed))
        return {};
    std::vector<ReadyStep::Task> tasks;
    uint32_t highestRun = 0;
    for (uint32_t index = 0; index < steps.tasks.size(); ++index) {
        const TaskRecord& task = steps.tasks[index];
        if (!task.isWaiting())
            continue;
        const uint32_t nextRun = task.run + 1;
        highestRun = std::max(highestRun, nextRun);
        const bool isBeingPlaced = m_tasksBeingPlaced.contains({ { record.id, occurrence.number, step }, index });
        if (isBeingPlaced && spec.isGang)
            return {};
        if (!isBeingPlaced)
            tasks.push_back({ .index = index, .nextRun = nextRun });
    }
    // Members share one run number, higher than that of any earlier run of a member.
    for (auto& task : tasks)
        task.nextRun = spec.isGang ? highestRun : task.nextRun;
    return tasks;
}

void WorkflowScheduler::stopPlacedRuns(const WorkflowRecord& record, TimePoint now)
{
    for (const auto& occurrence : record.occurrences) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].isPlaced)
                    m_runController.requestStop(
                        { { { record.id, occurrence.number, step }, index }, tasks[index].run }, now);
            }
        }
    }
}

void WorkflowScheduler::beginDueOccurrences(std::vector<WorkflowCommand>& commands, WallTime wall)
{
    while (!m_timedWorkflows.empty() && m_timedWorkflows.begin()->first <= toMs(wall)) {
        const auto [due, id] = *m_timedWorkflows.begin();
        m_timedWorkflows.erase(m_timedWorkflows.begin());
        m_nextOccurrenceMs.erase(id);
        if (const WorkflowRecord* record = m_state.find(id))
            commands.emplace_back(BeginOccurrence { .id = id, .occurrence = record->begunOccurrences });
    }
}

void WorkflowScheduler::recordWorkers(std::vector<WorkflowCommand>& commands)
{
    for (const auto& id : m_workerTracker.drainConfirmed())
        m_unrecordedWorkers.insert(id);
    RecordWorkers record;
    RemoveWorkers replaced;
    for (const auto& id : std::exchange(m_unrecordedWorkers, {})) {
        const TrackedWorker* worker = m_workerTracker.current(id);
        if (!worker || !worker->isProfileKnown)
            continue;
        record.profiles.push_back(worker->profile);
        // The record keeps the profile with the latest start time, unless it is removed first.
        const auto known = m_state.workers().find(id);
        if (known != m_state.workers().end()
            && known->second.incarnation.startTimeMs > worker->incarnation().startTimeMs)
            replaced.incarnations.push_back(known->second.incarnation);
    }
    if (!replaced.incarnations.empty())
        commands.emplace_back(std::move(replaced));
    if (!record.profiles.empty())
        commands.emplace_back(std::move(record));
}

// A log entry of its own for each first start would cost a disk write each.
void WorkflowScheduler::recordStarts(std::vector<WorkflowCommand>& commands, TimePoint now)
{
    if (commands.empty() && now < m_nextStartRecordAt)
        return;
    m_nextStartRecordAt = now + maxStartRecordDelay;
    RecordStarts record { .ids = m_runController.drainStartedWorkflows() };
    if (!record.ids.empty())
        commands.emplace_back(std::move(record));
}

// Removes ended or silent incarnations that no run refers to.
void WorkflowScheduler::removeStaleWorkers(std::vector<WorkflowCommand>& commands, TimePoint now)
{
    if (now < m_nextWorkerCleanupAt)
        return;
    m_nextWorkerCleanupAt = now + workerCleanupPeriod;
    RemoveWorkers command;
    std::vector<WorkerIncarnation> expired;
    for (const auto& [incarnation, worker] : m_workerTracker.workers()) {
        const bool isOver = worker.isSuperseded
            || (worker.leavingSince && now - *worker.leavingSince > m_settings.contactTimeout)
            || now - worker.lastContactAt > workerRemovalAge;
        if (isOver && worker.taskCountByStep.empty() && !worker.pollsInFlight)
            expired.push_back(incarnation);
    }
    for (const auto& incarnation : expired) {
        const auto known = m_state.workers().find(incarnation.worker);
        if (known != m_state.workers().end() && known->second.incarnation == incarnation)
            command.incarnations.push_back(incarnation);
        m_workerTracker.remove(incarnation);
    }
    if (!command.incarnations.empty())
        commands.emplace_back(std::move(command));
}

// The record of an ended workflow keeps a late submission of the same id from running it again.
void WorkflowScheduler::removeEndedWorkflows(std::vector<WorkflowCommand>& commands, TimePoint now)
{
    const Duration retention = std::max(m_settings.endedWorkflowRetention, m_settings.lateSubmissionTime);
    RemoveWorkflows command { .ids = m_endedWorkflows.takeExpired(now, retention, maxRemovedRecords) };
    if (!command.ids.empty())
        commands.emplace_back(std::move(command));
}

void WorkflowScheduler::removeEarlyCancellations(std::vector<WorkflowCommand>& commands, TimePoint now)
{
    for (const auto& key : std::exchange(m_newEarlyCancellations, {}))
        m_earlyCancellations.touch(key, now);
    RemoveEarlyCancellations command { .keys
        = m_earlyCancellations.takeExpired(now, m_settings.lateSubmissionTime, maxRemovedRecords) };
    if (!command.keys.empty())
        commands.emplace_back(std::move(command));
}

} // namespace hickoryknot::workflow
