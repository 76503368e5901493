#include "scheduler/PlacementSync.h"

#include <algorithm>

namespace hickoryknot {

namespace {

uint64_t keyOf(JobHandle handle) { return uint64_t { handle.generation } << 32 | handle.slot; }

TaskEndReason engineEnd(TaskResult result)
{
    switch (result) {
    case TaskResult::Finished:
        return TaskEndReason::Finished;
    case TaskResult::Failed:
        return TaskEndReason::Failed;
    case TaskResult::Lost:
        return TaskEndReason::Lost;
    case TaskResult::Preempted:
    case TaskResult::Stopped:
        return TaskEndReason::Preempted;
    case TaskResult::NeverStarted:
        break;
    }
    return TaskEndReason::NeverStarted;
}

} // namespace

PlacementSync::PlacementSync(const ZoneState& state, PlacerFactory factory)
    : m_state(state)
    , m_factory(std::move(factory))
{
}

void PlacementSync::reset(const Table& table, const WorkerRegistry& workers, bool canPlaceStopRows, TimePoint now)
{
    clear();
    m_placer = m_factory();
    m_table = &table;
    m_tableVersion = table.version();
    m_canPlaceStopRows = canPlaceStopRows;
    setRows(table);
    // Workers are added before jobs, so that running tasks find their workers. Workers without a heartbeat so far get
    // no new tasks.
    for (const auto& record : m_state.workers()) {
        if (record.worker.isEmpty())
            continue;
        const TrackedWorker* trackedWorker = workers.find(record.worker);
        const bool isAvailable = trackedWorker && trackedWorker->incarnation == record.incarnation;
        upsertWorker(record, !isAvailable || trackedWorker->isLeaving || trackedWorker->isSilent, now);
    }
    for (const auto number : m_state.openJobs())
        sync(number, now);
}

void PlacementSync::clear()
{
    m_placer = nullptr;
    m_jobs.clear();
    m_jobOfHandle.clear();
    m_pendingEnds.clear();
    m_refusals.clear();
    m_deferredPreemptions.clear();
}

void PlacementSync::updateTable(const Table& table, TimePoint now)
{
    if (m_tableVersion == table.version())
        return;
    m_tableVersion = table.version();
    setRows(table);
    // The cut-off rule of a row may have changed.
    if (m_canPlaceStopRows)
        return;
    for (const auto number : m_state.openJobs())
        sync(number, now);
}

// Accepted jobs of a removed row go on with the values of the row `default`; the engine would refuse them.
void PlacementSync::setRows(const Table& table)
{
    m_removedRows.clear();
    for (const auto number : m_state.openJobs()) {
        const RowName& row = m_state.findJob(number)->spec.row;
        if (!table.findClass(row))
            m_removedRows.insert(row);
    }
    std::vector<Row> rows = table.rows();
    for (const auto& name : m_removedRows) {
        Row& row = rows.emplace_back(table.defaultRow());
        row.name = name;
    }
    m_placer->setTable(rows);
}

void PlacementSync::updateWorker(const TrackedWorker& trackedWorker, TimePoint now)
{
    const auto index = m_state.findWorker(trackedWorker.worker);
    // Tasks can only be assigned to recorded workers.
    if (!index || m_state.workers()[*index].incarnation != trackedWorker.incarnation)
        return;
    upsertWorker(m_state.workers()[*index], trackedWorker.isLeaving || trackedWorker.isSilent, now);
}

void PlacementSync::upsertWorker(const WorkerRecord& record, bool isLeaving, TimePoint now)
{
    m_placer->upsertWorker({ .worker = record.worker,
                               .zone = m_state.zone(),
                               .rack = record.rack,
                               .capacity = record.capacity,
                               .isLeaving = isLeaving },
        now);
}

void PlacementSync::removeWorker(const WorkerId& worker) { m_placer->removeWorker(worker); }

void PlacementSync::sync(JobNumber number, TimePoint now)
{
    const ZoneJob* job = m_state.findJob(number);
    if (!job || !job->isOpen()) {
        removeJob(number, now);
        return;
    }
    const auto known = m_jobs.find(number);
    TrackedJob* trackedJob = known == m_jobs.end() ? submitJob(*job, now) : &known->second;
    if (!trackedJob || trackedJob->isRefused)
        return;
    for (uint32_t task = 0; task < trackedJob->tasks.size() && task < job->tasks.size(); ++task)
        syncTask(*trackedJob, *job, task, now);
    // Cancelled last, so that running tasks are adopted first.
    if (!trackedJob->isCancelled && (job->phase != ZoneJobPhase::Active || isWithheld(*job))) {
        trackedJob->isCancelled = true;
        m_placer->cancelJob(trackedJob->handle);
    }
}

void PlacementSync::syncAll(TimePoint now)
{
    std::vector<JobNumber> jobs(m_state.openJobs().begin(), m_state.openJobs().end());
    for (const auto& [number, trackedJob] : m_jobs)
        jobs.push_back(number);
    for (const auto number : jobs)
        sync(number, now);
}

PlacementSync::TrackedJob* PlacementSync::submitJob(const ZoneJob& job, TimePoint now)
{
    // Accepted by an earlier table.
    if (!m_table->findClass(job.spec.row) && !m_removedRows.contains(job.spec.row))
        setRows(*m_table);
    const auto handle = m_placer->submitJob({ .job = makeJobId(job.number, m_state.zone()),
                                                .row = job.spec.row,
                                                .team = job.spec.team,
                                                .kind = job.spec.kind,
                                                .tasks = job.spec.tasks,
                                                .perTask = job.spec.perTask,
                                                .expectedRun = job.spec.expectedRun,
                                                .submittedAt = toLocalTime(job.submittedMs, now),
                                                .repeatable = job.spec.isRepeatable },
        now);
    TrackedJob& trackedJob = m_jobs[job.number];
    trackedJob.tasks.assign(job.spec.tasks, EngineTaskState::Queued);
    trackedJob.epochs.assign(job.spec.tasks, 0);
    trackedJob.isRefused = !handle;
    if (handle) {
        trackedJob.handle = *handle;
        m_jobOfHandle[keyOf(*handle)] = job.number;
    } else {
        m_refusals.push_back({ .job = job.number, .reason = handle.error().message });
    }
    return &trackedJob;
}

void PlacementSync::syncTask(TrackedJob& trackedJob, const ZoneJob& job, uint32_t task, TimePoint now)
{
    const TaskRecord& record = job.tasks[task];
    EngineTaskState& engineState = trackedJob.tasks[task];
    const bool isAssigned = record.phase == TaskPhase::Assigned;
    // An assignment that is gone from the record ends first, also if a newer one has followed.
    if (engineState == EngineTaskState::Running && (!isAssigned || trackedJob.epochs[task] != record.epoch))
        endInEngine(trackedJob, task, now);
    if (isAssigned && engineState != EngineTaskState::Running)
        adoptInEngine(trackedJob, record, task, now);
    const bool isOver = record.phase == TaskPhase::Finished || record.phase == TaskPhase::Failed;
    if (isOver && engineState == EngineTaskState::Queued) {
        // The task must not be placed again. TaskEnd::Finished is the only end that has an effect on a task that is not
        // running.
        m_placer->onTaskEnd(trackedJob.handle, task, TaskEndReason::Finished, Duration::zero(), now);
        engineState = EngineTaskState::Ended;
    }
}

void PlacementSync::adoptInEngine(TrackedJob& trackedJob, const TaskRecord& record, uint32_t task, TimePoint now)
{
    const WorkerId& worker = m_state.workers()[record.worker].worker;
    const auto pending = trackedJob.pending.find(task);
    // Capacity for a placement of this engine is already allocated; an assignment by an earlier engine must be adopted.
    const bool isOwn = pending != trackedJob.pending.end() && pending->second == worker;
    if (pending != trackedJob.pending.end() && !isOwn)
        m_placer->onTaskEnd(trackedJob.handle, task, TaskEndReason::NeverStarted, Duration::zero(), now);
    if (!isOwn)
        m_placer->adoptTask(trackedJob.handle, task, worker, toLocalTime(record.sinceMs, now));
    trackedJob.pending.erase(task);
    trackedJob.tasks[task] = EngineTaskState::Running;
    trackedJob.epochs[task] = record.epoch;
}

void PlacementSync::endInEngine(TrackedJob& trackedJob, uint32_t task, TimePoint now)
{
    const auto recorded = m_pendingEnds.find(trackedJob.epochs[task]);
    const PendingEnd end = recorded == m_pendingEnds.end() ? PendingEnd {} : recorded->second;
    if (recorded != m_pendingEnds.end())
        m_pendingEnds.erase(recorded);
    m_placer->onTaskEnd(trackedJob.handle, task, end.end, end.runTime, now);
    trackedJob.tasks[task] = EngineTaskState::Queued;
    trackedJob.epochs[task] = 0;
}

void PlacementSync::removeJob(JobNumber number, TimePoint now)
{
    const auto known = m_jobs.find(number);
    if (known == m_jobs.end())
        return;
    TrackedJob& trackedJob = known->second;
    if (!trackedJob.isRefused) {
        m_placer->cancelJob(trackedJob.handle);
        for (uint32_t task = 0; task < trackedJob.tasks.size(); ++task) {
            if (trackedJob.tasks[task] == EngineTaskState::Running)
                endInEngine(trackedJob, task, now);
            else if (trackedJob.tasks[task] == EngineTaskState::Pending)
                m_placer->onTaskEnd(trackedJob.handle, task, TaskEndReason::NeverStarted, Duration::zero(), now);
        }
        m_placer->removeJob(trackedJob.handle);
        m_jobOfHandle.erase(keyOf(trackedJob.handle));
    }
    m_jobs.erase(known);
}

void PlacementSync::recordEnd(uint64_t epoch, TaskResult result, Duration runTime)
{
    m_pendingEnds[epoch] = { .end = engineEnd(result), .runTime = runTime };
}

void PlacementSync::onUsageReport(const TaskKey& key, const Resources& used, TimePoint now)
{
    const auto known = m_jobs.find(key.job);
    if (known != m_jobs.end() && !known->second.isRefused)
        m_placer->onUsageReport(known->second.handle, key.task, used, now);
}

PlacementDecisions PlacementSync::decide(TimePoint now, WallTime wall, size_t maxDecisions)
{
    PlacementDecisions decisions;
    m_decisions.clear();
    m_placer->decide(now, wall, maxDecisions, m_decisions);
    for (const auto& decision : m_decisions) {
        const JobNumber* number = findByHandle(decision.job);
        if (!number)
            continue;
        if (decision.kind == DecisionKind::Refuse) {
            decisions.refuse.push_back({ .job = *number, .reason = m_placer->explain(decision.job, now, wall) });
        } else if (decision.kind == DecisionKind::Preempt) {
            m_deferredPreemptions.push_back({ .job = *number, .task = decision.taskIndex });
        } else {
            place(decision, *number, decisions);
        }
    }
    collectPreemptions(decisions);
    std::stable_sort(
        decisions.place.begin(), decisions.place.end(), [](const auto& a, const auto& b) { return a.job < b.job; });
    std::move(m_refusals.begin(), m_refusals.end(), std::back_inserter(decisions.refuse));
    m_refusals.clear();
    return decisions;
}

void PlacementSync::place(const Decision& decision, JobNumber number, PlacementDecisions& decisions)
{
    TrackedJob& trackedJob = m_jobs.at(number);
    const auto worker = m_state.findWorker(decision.worker);
    trackedJob.tasks[decision.taskIndex] = EngineTaskState::Pending;
    trackedJob.pending[decision.taskIndex] = decision.worker;
    decisions.place.push_back({ .job = number,
        .task = decision.taskIndex,
        .worker = decision.worker,
        .incarnation = worker ? m_state.workers()[*worker].incarnation : 0 });
}

// The engine may preempt a task whose assignment is not committed yet; it is preempted once the assignment is
// committed.
void PlacementSync::collectPreemptions(PlacementDecisions& decisions)
{
    std::erase_if(m_deferredPreemptions, [&](const TaskKey& key) {
        const auto known = m_jobs.find(key.job);
        const EngineTaskState engineState
            = known == m_jobs.end() ? EngineTaskState::Ended : known->second.tasks[key.task];
        if (engineState == EngineTaskState::Running)
            decisions.preempt.push_back(known->second.epochs[key.task]);
        return engineState != EngineTaskState::Pending;
    });
}

void PlacementSync::onPlacementFailed(const PlaceTasks::Entry& entry, TimePoint now)
{
    const auto known = m_jobs.find(entry.job);
    if (known == m_jobs.end() || known->second.isRefused || known->second.tasks[entry.task] != EngineTaskState::Pending)
        return;
    // The failed placement was made by an earlier engine.
    if (known->second.pending.at(entry.task) != entry.worker)
        return;
    known->second.pending.erase(entry.task);
    m_placer->onTaskEnd(known->second.handle, entry.task, TaskEndReason::NeverStarted, Duration::zero(), now);
    known->second.tasks[entry.task] = EngineTaskState::Queued;
}

std::string PlacementSync::explain(JobNumber number, TimePoint now, WallTime wall) const
{
    const auto known = m_jobs.find(number);
    return m_placer && known != m_jobs.end() && !known->second.isRefused
        ? m_placer->explain(known->second.handle, now, wall)
        : std::string();
}

Resources PlacementSync::freeCapacity() const { return m_placer ? m_placer->freeCapacity() : Resources {}; }

// While the zone is cut off, this host may miss a table change, and tasks of rows with cutOff=stop must not start by an
// old table version.
bool PlacementSync::isWithheld(const ZoneJob& job) const
{
    if (m_canPlaceStopRows)
        return false;
    const Row* row = m_table->findClass(job.spec.row);
    return job.cutOff == CutOffRule::Stop || (row && row->cutOff == CutOffRule::Stop);
}

const JobNumber* PlacementSync::findByHandle(JobHandle handle) const
{
    const auto found = m_jobOfHandle.find(keyOf(handle));
    return found == m_jobOfHandle.end() ? nullptr : &found->second;
}

// Recorded times are wall-clock times. Their distance to the newest recorded time is applied to this host's steady
// clock.
TimePoint PlacementSync::toLocalTime(UnixMs recorded, TimePoint now) const
{
    return now - std::max<UnixMs>(0, m_state.now() - recorded) * 1ms;
}

} // namespace hickoryknot
