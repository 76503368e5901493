#include "scheduler/EngineMirror.h"

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

EngineMirror::EngineMirror(const ZoneState& state, PlacerFactory factory)
    : m_state(state)
    , m_factory(std::move(factory))
{
}

void EngineMirror::reset(const Table& table, const WorkerRegistry& workers, bool mayPlaceStopRows, TimePoint now)
{
    clear();
    m_placer = m_factory();
    m_table = &table;
    m_tableVersion = table.version();
    m_mayPlaceStopRows = mayPlaceStopRows;
    m_placer->setTable(table.rows());
    // Workers before jobs, so that running tasks find their workers. Those not heard yet get no new tasks.
    for (const auto& record : m_state.workers()) {
        if (record.worker.isEmpty())
            continue;
        const TrackedWorker* view = workers.find(record.worker);
        const bool isThere = view && view->incarnation == record.incarnation;
        announce(record, !isThere || view->isLeaving || view->isSilent, now);
    }
    for (const auto number : m_state.openJobs())
        sync(number, now);
}

void EngineMirror::clear()
{
    m_placer = nullptr;
    m_jobs.clear();
    m_jobOfHandle.clear();
    m_notedEnds.clear();
    m_refusals.clear();
    m_latePreempts.clear();
}

void EngineMirror::updateTable(const Table& table, TimePoint now)
{
    if (m_tableVersion == table.version())
        return;
    m_tableVersion = table.version();
    m_placer->setTable(table.rows());
    // Rows may have become keep or stop.
    if (m_mayPlaceStopRows)
        return;
    for (const auto number : m_state.openJobs())
        sync(number, now);
}

void EngineMirror::updateWorker(const TrackedWorker& view, TimePoint now)
{
    const auto index = m_state.findWorker(view.worker);
    // Only what is recorded can be assigned to.
    if (!index || m_state.workers()[*index].incarnation != view.incarnation)
        return;
    announce(m_state.workers()[*index], view.isLeaving || view.isSilent, now);
}

void EngineMirror::announce(const WorkerRecord& record, bool isLeaving, TimePoint now)
{
    m_placer->upsertWorker({ .worker = record.worker,
                               .zone = m_state.zone(),
                               .rack = record.rack,
                               .capacity = record.capacity,
                               .isLeaving = isLeaving },
        now);
}

void EngineMirror::removeWorker(const WorkerId& worker) { m_placer->removeWorker(worker); }

void EngineMirror::sync(JobNumber number, TimePoint now)
{
    const ZoneJob* job = m_state.findJob(number);
    if (!job || !job->isOpen()) {
        drop(number, now);
        return;
    }
    const auto known = m_jobs.find(number);
    JobView* view = known == m_jobs.end() ? enroll(*job, now) : &known->second;
    if (!view || view->isRefused)
        return;
    for (uint32_t task = 0; task < view->tasks.size() && task < job->tasks.size(); ++task)
        syncTask(*view, *job, task, now);
    // Cancelled only now, so that running tasks were adopted before.
    if (!view->isCancelled && (job->phase != ZoneJobPhase::Active || isWithheld(*job))) {
        view->isCancelled = true;
        m_placer->cancelJob(view->handle);
    }
}

void EngineMirror::syncAll(TimePoint now)
{
    std::vector<JobNumber> jobs(m_state.openJobs().begin(), m_state.openJobs().end());
    for (const auto& [number, view] : m_jobs)
        jobs.push_back(number);
    for (const auto number : jobs)
        sync(number, now);
}

EngineMirror::JobView* EngineMirror::enroll(const ZoneJob& job, TimePoint now)
{
    const auto handle = m_placer->submitJob({ .job = makeJobId(job.number, m_state.zone()),
                                                .row = job.spec.row,
                                                .team = job.spec.team,
                                                .kind = job.spec.kind,
                                                .tasks = job.spec.tasks,
                                                .perTask = job.spec.perTask,
                                                .expectedRun = job.spec.expectedRun,
                                                .submittedAt = momentOf(job.submittedMs, now),
                                                .repeatable = job.spec.isRepeatable },
        now);
    JobView& view = m_jobs[job.number];
    view.tasks.assign(job.spec.tasks, TaskView::Queued);
    view.epochs.assign(job.spec.tasks, 0);
    view.isRefused = !handle;
    if (handle) {
        view.handle = *handle;
        m_jobOfHandle[keyOf(*handle)] = job.number;
    } else {
        m_refusals.push_back({ .job = job.number, .sentence = handle.error().message });
    }
    return &view;
}

void EngineMirror::syncTask(JobView& view, const ZoneJob& job, uint32_t task, TimePoint now)
{
    const TaskRecord& record = job.tasks[task];
    TaskView& seen = view.tasks[task];
    const bool isAssigned = record.phase == TaskPhase::Assigned;
    // An assignment that is no longer there ends first, also when a newer one has followed.
    if (seen == TaskView::Running && (!isAssigned || view.epochs[task] != record.epoch))
        endInEngine(view, task, now);
    if (isAssigned && seen != TaskView::Running)
        adoptInEngine(view, record, task, now);
    const bool isOver = record.phase == TaskPhase::Finished || record.phase == TaskPhase::Failed;
    if (isOver && seen == TaskView::Queued) {
        // Nothing of it may be placed again; for a task that does not run only this end has an effect.
        m_placer->onTaskEnd(view.handle, task, TaskEndReason::Finished, Duration::zero(), now);
        seen = TaskView::Over;
    }
}

void EngineMirror::adoptInEngine(JobView& view, const TaskRecord& record, uint32_t task, TimePoint now)
{
    const WorkerId& worker = m_state.workers()[record.worker].worker;
    const auto pending = view.pending.find(task);
    // A placement of this engine holds its capacity already; an assignment by an earlier engine is new to it.
    const bool isOwn = pending != view.pending.end() && pending->second == worker;
    if (pending != view.pending.end() && !isOwn)
        m_placer->onTaskEnd(view.handle, task, TaskEndReason::NeverStarted, Duration::zero(), now);
    if (!isOwn)
        m_placer->adoptTask(view.handle, task, worker, momentOf(record.sinceMs, now));
    view.pending.erase(task);
    view.tasks[task] = TaskView::Running;
    view.epochs[task] = record.epoch;
}

void EngineMirror::endInEngine(JobView& view, uint32_t task, TimePoint now)
{
    const auto noted = m_notedEnds.find(view.epochs[task]);
    const NotedEnd end = noted == m_notedEnds.end() ? NotedEnd {} : noted->second;
    if (noted != m_notedEnds.end())
        m_notedEnds.erase(noted);
    m_placer->onTaskEnd(view.handle, task, end.end, end.runTime, now);
    view.tasks[task] = TaskView::Queued;
    view.epochs[task] = 0;
}

void EngineMirror::drop(JobNumber number, TimePoint now)
{
    const auto known = m_jobs.find(number);
    if (known == m_jobs.end())
        return;
    JobView& view = known->second;
    if (!view.isRefused) {
        m_placer->cancelJob(view.handle);
        for (uint32_t task = 0; task < view.tasks.size(); ++task) {
            if (view.tasks[task] == TaskView::Running)
                endInEngine(view, task, now);
            else if (view.tasks[task] == TaskView::Pending)
                m_placer->onTaskEnd(view.handle, task, TaskEndReason::NeverStarted, Duration::zero(), now);
        }
        m_placer->removeJob(view.handle);
        m_jobOfHandle.erase(keyOf(view.handle));
    }
    m_jobs.erase(known);
}

void EngineMirror::noteEnd(uint64_t epoch, TaskResult result, Duration runTime)
{
    m_notedEnds[epoch] = { .end = engineEnd(result), .runTime = runTime };
}

void EngineMirror::onUsageReport(const TaskKey& key, const Resources& used, TimePoint now)
{
    const auto known = m_jobs.find(key.job);
    if (known != m_jobs.end() && !known->second.isRefused)
        m_placer->onUsageReport(known->second.handle, key.task, used, now);
}

MirrorDecisions EngineMirror::decide(TimePoint now, WallTime wall, size_t maxDecisions)
{
    MirrorDecisions wanted;
    m_decisions.clear();
    m_placer->decide(now, wall, maxDecisions, m_decisions);
    for (const auto& decision : m_decisions) {
        const JobNumber* number = findByHandle(decision.job);
        if (!number)
            continue;
        if (decision.kind == DecisionKind::Refuse) {
            wanted.refuse.push_back({ .job = *number, .sentence = m_placer->explain(decision.job, now, wall) });
        } else if (decision.kind == DecisionKind::Preempt) {
            m_latePreempts.push_back({ .job = *number, .task = decision.taskIndex });
        } else {
            place(decision, *number, wanted);
        }
    }
    collectPreempts(wanted);
    std::stable_sort(
        wanted.place.begin(), wanted.place.end(), [](const auto& a, const auto& b) { return a.job < b.job; });
    std::move(m_refusals.begin(), m_refusals.end(), std::back_inserter(wanted.refuse));
    m_refusals.clear();
    return wanted;
}

void EngineMirror::place(const Decision& decision, JobNumber number, MirrorDecisions& wanted)
{
    JobView& view = m_jobs.at(number);
    const auto worker = m_state.findWorker(decision.worker);
    view.tasks[decision.taskIndex] = TaskView::Pending;
    view.pending[decision.taskIndex] = decision.worker;
    wanted.place.push_back({ .job = number,
        .task = decision.taskIndex,
        .worker = decision.worker,
        .incarnation = worker ? m_state.workers()[*worker].incarnation : 0 });
}

// The engine may want to stop a task whose assignment is still being recorded; it is stopped once that is done.
void EngineMirror::collectPreempts(MirrorDecisions& wanted)
{
    std::erase_if(m_latePreempts, [&](const TaskKey& key) {
        const auto known = m_jobs.find(key.job);
        const TaskView seen = known == m_jobs.end() ? TaskView::Over : known->second.tasks[key.task];
        if (seen == TaskView::Running)
            wanted.preempt.push_back(known->second.epochs[key.task]);
        return seen != TaskView::Pending;
    });
}

void EngineMirror::placementFailed(const PlaceTasks::Entry& entry, TimePoint now)
{
    const auto known = m_jobs.find(entry.job);
    if (known == m_jobs.end() || known->second.isRefused || known->second.tasks[entry.task] != TaskView::Pending)
        return;
    // A placement of an earlier engine for the same task.
    if (known->second.pending.at(entry.task) != entry.worker)
        return;
    known->second.pending.erase(entry.task);
    m_placer->onTaskEnd(known->second.handle, entry.task, TaskEndReason::NeverStarted, Duration::zero(), now);
    known->second.tasks[entry.task] = TaskView::Queued;
}

std::string EngineMirror::explain(JobNumber number, TimePoint now, WallTime wall) const
{
    const auto known = m_jobs.find(number);
    return m_placer && known != m_jobs.end() && !known->second.isRefused
        ? m_placer->explain(known->second.handle, now, wall)
        : std::string();
}

Resources EngineMirror::freeCapacity() const { return m_placer ? m_placer->freeCapacity() : Resources {}; }

// While cut off, a table change may be unknown here; work of rows that stop must not start by an old version.
bool EngineMirror::isWithheld(const ZoneJob& job) const
{
    if (m_mayPlaceStopRows)
        return false;
    const Row* row = m_table->findClass(job.spec.row);
    return job.cutOff == CutOffRule::Stop || (row && row->cutOff == CutOffRule::Stop);
}

const JobNumber* EngineMirror::findByHandle(JobHandle handle) const
{
    const auto found = m_jobOfHandle.find(keyOf(handle));
    return found == m_jobOfHandle.end() ? nullptr : &found->second;
}

// Recorded times are of the calendar; the distance to the newest recorded time carries over to this host's clock.
TimePoint EngineMirror::momentOf(UnixMs recorded, TimePoint now) const
{
    return now - std::max<UnixMs>(0, m_state.now() - recorded) * 1ms;
}

} // namespace hickoryknot
