#include "workflow/WorkflowScheduler.h"

#include <algorithm>

#include "workflow/SchedulerObserver.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

namespace {

/// An end is late up to this multiple of the objective, and of no use afterwards.
constexpr int64_t uselessAfterObjectives = 3;
/// Records that are dropped at once, so that one entry of the log stays small.
constexpr size_t maxForgotten = 200;
/// Workers without runs that were not heard for this long are dropped: several times the longest partition.
constexpr Duration forgetWorkerAfter = 60s;
/// Between two searches for workers to drop; they hold nothing but memory.
constexpr Duration forgettingPeriod = 250ms;
/// Placements per batch: what one commit can carry without delaying the next.
constexpr size_t maxBatchesInFlight = 4;

int64_t toMs(WallTime wall) { return wall.time_since_epoch() / 1ms; }

} // namespace

WorkflowScheduler::WorkflowScheduler(
    const SchedulerSettings& settings, WorkflowState& state, SchedulerObserver& observer)
    : m_settings(settings)
    , m_state(state)
    , m_observer(observer)
    , m_board(m_settings)
    , m_desk(m_settings, state, m_board)
    , m_permits(m_settings)
    , m_planner(m_board, m_permits, m_desk)
    , m_gate({})
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
        m_board.recorded(profile, now);
    m_desk.begin(fence, now);
    for (const auto& [id, record] : m_state.workflows())
        m_changed.insert(id);
    refreshChanged(now, wall);
}

void WorkflowScheduler::resign()
{
    m_isLeader = false;
    m_desk.clear();
    m_board.clear();
    m_permits.clear();
    m_changed.clear();
    m_tracked.clear();
    m_ready.clear();
    m_load.byPriority.clear();
    m_pendingOfQueue.clear();
    m_timed.clear();
    m_nextDue.clear();
    m_ended.clear();
    m_knownEnded.clear();
    m_unrecorded.clear();
    m_batches.clear();
    m_placing.clear();
}

void WorkflowScheduler::workflowChanged(const WorkflowId& id)
{
    if (m_isLeader)
        m_changed.insert(id);
}

void WorkflowScheduler::tableChanged()
{
    if (!m_isLeader)
        return;
    for (const auto& [id, tracked] : m_tracked)
        m_changed.insert(id);
}

void WorkflowScheduler::onWorkerReport(const WorkerReport& report, TimePoint now)
{
    if (!m_isLeader)
        return;
    const auto news = m_board.reported(report, now);
    if (news != WorkerTracker::News::Stale && !isRecorded(report))
        m_unrecorded.insert(report.profile.incarnation.worker);
}

bool WorkflowScheduler::isRecorded(const WorkerReport& report) const
{
    const auto known = m_state.workers().find(report.profile.incarnation.worker);
    return known != m_state.workers().end()
        && (known->second == report.profile
            || known->second.incarnation.startTimeMs > report.profile.incarnation.startTimeMs);
}

void WorkflowScheduler::onWorkerLeaving(const WorkerId& worker, TimePoint now)
{
    if (const WorkerView* view = m_isLeader ? m_board.current(worker) : nullptr)
        m_desk.lifeLeft(view->life(), now);
}

void WorkflowScheduler::onStartResponse(const StartRunRequest& order, const RunResponse& answer, TimePoint now)
{
    if (!m_isLeader || order.fence != m_fence)
        return;
    m_desk.startAnswered(order, answer, now);
    const WorkerView* view = m_board.find(order.incarnation);
    if (view && answer.status == WorkerRequestStatus::NoPermission)
        m_permits.refused(order.run.task.step, *view);
}

void WorkflowScheduler::onStopResponse(const StopRunRequest& order, const RunResponse& answer, TimePoint now)
{
    if (m_isLeader && order.fence == m_fence)
        m_desk.stopAnswered(order, answer, now);
}

void WorkflowScheduler::onPollResponse(
    const PollRequest& order, const Expected<PollResponse>& answer, TimePoint sentAt, TimePoint now)
{
    if (m_isLeader && order.fence == m_fence)
        m_desk.lookAnswered(order, answer, sentAt, now);
}

void WorkflowScheduler::onPermissionResponse(
    const PermissionRequest& request, const Expected<PermissionResponse>& answer, TimePoint now)
{
    if (m_isLeader)
        m_permits.answered(request, answer, now);
}

WorkflowScheduler::Output WorkflowScheduler::advance(TimePoint now, WallTime wall)
{
    Output output;
    if (!m_isLeader)
        return output;
    refreshChanged(now, wall);
    m_desk.advance(now, output.requests);

    Batch batch;
    EndRuns ends { .entries = m_desk.takeEnds() };
    for (const auto& end : ends.entries) {
        batch.ended.push_back(end.run);
        const RunView* run = m_desk.find(end.run);
        if (!run)
            continue;
        m_observer.onRunEnded(end.run, run->life, end.end);
        const auto tracked = m_tracked.find(end.run.task.step.workflow);
        if (end.end == RunOutcome::Failed && tracked != m_tracked.end())
            tracked->second.failedOn[end.run.task.step].insert(run->life.worker);
    }
    batch.mark = m_desk.mark();
    if (!ends.entries.empty())
        output.commands.emplace_back(std::move(ends));
    beginDueOccurrences(output.commands, wall);
    recordWorkers(output.commands);
    forgetWorkers(output.commands, now);
    forgetEnded(output.commands, now);
    if (m_batches.size() < maxBatchesInFlight)
        placeReady(output, batch, now);

    // Ends of runs that the record does not know need no record of their own.
    const bool isMarkOpen
        = std::any_of(m_batches.begin(), m_batches.end(), [](const auto& item) { return !item.second.ended.empty(); });
    if (batch.ended.empty() && !isMarkOpen && !batch.mark.ends.empty())
        m_desk.recorded(batch.mark);
    if (output.commands.empty())
        return output;
    output.batch = m_nextBatch++;
    m_batches.emplace(output.batch, std::move(batch));
    return output;
}

void WorkflowScheduler::onBatchCommitted(uint64_t number, TimePoint now)
{
    const auto found = m_batches.find(number);
    if (!m_isLeader || found == m_batches.end())
        return;
    const Batch batch = std::move(found->second);
    m_batches.erase(found);
    for (const auto& run : batch.ended)
        m_desk.endRecorded(run);
    m_desk.recorded(batch.mark);
    for (const auto& run : batch.placed) {
        const WorkflowRecord* record = m_state.find(run.task.step.workflow);
        const TaskRecord* task = record ? record->find(run.task) : nullptr;
        m_placing.erase(run.task);
        m_desk.settled(run, task && task->isPlaced && task->run == run.run, now);
        m_changed.insert(run.task.step.workflow);
    }
}

void WorkflowScheduler::refreshChanged(TimePoint now, WallTime wall)
{
    const auto changed = std::exchange(m_changed, {});
    for (const auto& id : changed)
        refresh(id, now, wall);
}

Queue WorkflowScheduler::queueOf(const WorkflowRecord& record) const
{
    if (const Queue* queue = m_state.table().find(record.queue))
        return *queue;
    // The queue was removed; what it accepted is still served.
    Queue gone;
    gone.name = record.queue;
    gone.pool = record.pool;
    gone.maxAttempts = record.maxAttempts;
    return gone;
}

void WorkflowScheduler::drop(Tracked& tracked)
{
    for (const auto& step : tracked.ready)
        m_ready.erase(step);
    tracked.ready.clear();
    m_load.byPriority[tracked.priority] -= tracked.work;
    tracked.work = 0;
    if (std::exchange(tracked.isPending, false))
        --m_pendingOfQueue[tracked.queue];
}

void WorkflowScheduler::untrack(const WorkflowId& id)
{
    const auto known = m_tracked.find(id);
    if (known == m_tracked.end())
        return;
    drop(known->second);
    m_tracked.erase(known);
    if (const auto due = m_nextDue.find(id); due != m_nextDue.end()) {
        m_timed.erase({ due->second, id });
        m_nextDue.erase(due);
    }
}

void WorkflowScheduler::refresh(const WorkflowId& id, TimePoint now, WallTime wall)
{
    const WorkflowRecord* record = m_state.find(id);
    if (!record || !record->isActive()) {
        if (const auto known = m_tracked.find(id); record && known != m_tracked.end())
            m_observer.onWorkflowEnded(*record, now - known->second.acceptedAt);
        untrack(id);
        if (record && m_knownEnded.insert(id).second)
            m_ended.emplace_back(now, id);
        if (record && record->placed && record->phase != WorkflowPhase::Completed)
            stopUnwanted(*record, now);
        return;
    }
    const auto [known, isNew] = m_tracked.try_emplace(id);
    Tracked& tracked = known->second;
    if (isNew) {
        // After a change of leaders the calendar says how long ago it was accepted; clocks may differ by seconds.
        const int64_t ageMs = std::clamp<int64_t>(toMs(wall) - record->acceptedMs, 0, 600'000);
        tracked.acceptedAt = now - ageMs * Duration(1ms);
    } else {
        drop(tracked);
    }
    const Queue queue = queueOf(*record);
    tracked.priority = queue.priority;
    tracked.queue = record->queue;
    tracked.isPending = !record->hasStarted && !record->spec.isTimed();
    if (tracked.isPending)
        ++m_pendingOfQueue[tracked.queue];
    collectReady(*record, tracked, now, wall);
    if (record->spec.isTimed() && record->begun < record->spec.repeatCount) {
        const int64_t due = record->spec.firstMs + static_cast<int64_t>(record->begun) * record->spec.intervalMs;
        const auto [entry, isFirst] = m_nextDue.try_emplace(id, due);
        if (!isFirst) {
            m_timed.erase({ entry->second, id });
            entry->second = due;
        }
        m_timed.insert({ due, id });
    } else if (const auto due = m_nextDue.find(id); due != m_nextDue.end()) {
        m_timed.erase({ due->second, id });
        m_nextDue.erase(due);
    }
}

void WorkflowScheduler::collectReady(const WorkflowRecord& record, Tracked& tracked, TimePoint now, WallTime wall)
{
    const Queue queue = queueOf(record);
    const Duration objective
        = longestChain(record.spec) * static_cast<int64_t>(queue.stretchPermille) / 1000 + queue.targetLatency;
    for (const auto& occurrence : record.occurrences) {
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
                .queue = queue,
                .tasks = readyTasks(record, occurrence, step),
                .dueAt = begin + objective,
                .uselessAt = begin + objective * uselessAfterObjectives,
                .chain = chainFrom(record.spec, step),
                .readySince = now,
                .avoided = {} };
            if (ready.tasks.empty()) {
                tracked.readySince.erase(ref);
                if (occurrence.steps[step].isDone())
                    m_permits.forget(ref);
                continue;
            }
            ready.readySince = tracked.readySince.try_emplace(ref, now).first->second;
            if (const auto failed = tracked.failedOn.find(ref); failed != tracked.failedOn.end())
                ready.avoided = failed->second;
            if (!spec.usesSpareCapacity && !spec.isLongRunning)
                tracked.work += static_cast<double>(ready.tasks.size())
                    * static_cast<double>(spec.perTask.millicores.count())
                    * static_cast<double>(spec.estimatedRunTime.count());
            tracked.ready.push_back(ref);
            m_ready.insert_or_assign(ref, std::move(ready));
        }
    }
    m_load.byPriority[tracked.priority] += tracked.work;
}

// Tasks whose turn has come and that neither run nor are being placed; of a gang all or none.
std::vector<ReadyStep::Task> WorkflowScheduler::readyTasks(
    const WorkflowRecord& record, const OccurrenceRecord& occurrence, uint32_t step) const
{
    const StepSpec& spec = record.spec.steps[step];
    const StepRecord& steps = occurrence.steps[step];
    const bool isItsTurn = std::all_of(spec.dependencies.begin(), spec.dependencies.end(),
        [&](uint32_t earlier) { return occurrence.steps[earlier].isDone(); });
    // Members of an earlier run of a gang must have ended before it starts again.
    if (!steps.open || !isItsTurn || (spec.isGang && steps.placed))
        return {};
    std::vector<ReadyStep::Task> tasks;
    uint32_t highestRun = 0;
    for (uint32_t index = 0; index < steps.tasks.size(); ++index) {
        const TaskRecord& task = steps.tasks[index];
        if (!task.isWaiting())
            continue;
        const uint32_t nextRun = task.run + 1;
        highestRun = std::max(highestRun, nextRun);
        const bool isBeingPlaced = m_placing.contains({ { record.id, occurrence.number, step }, index });
        if (isBeingPlaced && spec.isGang)
            return {};
        if (!isBeingPlaced)
            tasks.push_back({ .index = index, .nextRun = nextRun });
    }
    // Members share one number, higher than any that a member has had.
    for (auto& task : tasks)
        task.nextRun = spec.isGang ? highestRun : task.nextRun;
    return tasks;
}

void WorkflowScheduler::stopUnwanted(const WorkflowRecord& record, TimePoint now)
{
    for (const auto& occurrence : record.occurrences) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].isPlaced)
                    m_desk.requestStop({ { { record.id, occurrence.number, step }, index }, tasks[index].run }, now);
            }
        }
    }
}

void WorkflowScheduler::beginDueOccurrences(std::vector<WorkflowCommand>& commands, WallTime wall)
{
    while (!m_timed.empty() && m_timed.begin()->first <= toMs(wall)) {
        const auto [due, id] = *m_timed.begin();
        m_timed.erase(m_timed.begin());
        m_nextDue.erase(id);
        if (const WorkflowRecord* record = m_state.find(id))
            commands.emplace_back(BeginOccurrence { .id = id, .occurrence = record->begun });
    }
}

void WorkflowScheduler::recordWorkers(std::vector<WorkflowCommand>& commands)
{
    RecordWorkers record;
    for (const auto& id : std::exchange(m_unrecorded, {})) {
        if (const WorkerView* view = m_board.current(id))
            record.profiles.push_back(view->profile);
    }
    if (!record.profiles.empty())
        commands.emplace_back(std::move(record));
}

// Drops lives that are over and that no run refers to.
void WorkflowScheduler::forgetWorkers(std::vector<WorkflowCommand>& commands, TimePoint now)
{
    if (now < m_nextForgetting)
        return;
    m_nextForgetting = now + forgettingPeriod;
    ForgetWorkers forget;
    std::vector<WorkerIncarnation> gone;
    for (const auto& [life, view] : m_board.workers()) {
        const bool isOver = view.isSucceeded || (view.leftAt && now - *view.leftAt > m_settings.contactTimeout)
            || now - view.heardAt > forgetWorkerAfter;
        if (isOver && view.tasksOfStep.empty() && !view.isLookInFlight)
            gone.push_back(life);
    }
    for (const auto& life : gone) {
        const auto known = m_state.workers().find(life.worker);
        if (known != m_state.workers().end() && known->second.incarnation == life)
            forget.lives.push_back(life);
        m_board.forget(life);
    }
    if (!forget.lives.empty())
        commands.emplace_back(std::move(forget));
}

void WorkflowScheduler::forgetEnded(std::vector<WorkflowCommand>& commands, TimePoint now)
{
    ForgetWorkflows forget;
    while (!m_ended.empty() && now - m_ended.front().first > m_settings.endedWorkflowRetention
        && forget.ids.size() < maxForgotten) {
        forget.ids.push_back(m_ended.front().second);
        m_knownEnded.erase(m_ended.front().second);
        m_ended.pop_front();
    }
    if (!forget.ids.empty())
        commands.emplace_back(std::move(forget));
}

void WorkflowScheduler::placeReady(Output& output, Batch& batch, TimePoint now)
{
    if (m_ready.empty())
        return;
    std::vector<ReadyStep*> steps;
    steps.reserve(m_ready.size());
    for (auto& [ref, step] : m_ready)
        steps.push_back(&step);
    auto decisions = m_planner.plan(steps, now);
    output.permissionRequests = std::move(decisions.requests);
    for (const auto& run : decisions.preemptions) {
        m_observer.onStopRequested(run, "a gang of higher priority needs its room");
        m_desk.requestStop(run, now);
    }
    if (decisions.placements.empty())
        return;
    tellPlacements(decisions.placements, now);
    PlaceRuns command;
    std::map<WorkerIncarnation, uint32_t> lives;
    for (auto& placement : decisions.placements) {
        const auto [life, isNew] = lives.try_emplace(placement.life, static_cast<uint32_t>(command.lives.size()));
        if (isNew)
            command.lives.push_back(placement.life);
        command.entries.push_back({ .run = placement.run, .life = life->second });
        m_desk.proposed(
            placement.run, placement.life, *placement.spec, placement.priority, std::move(placement.permit));
        batch.placed.push_back(placement.run);
        m_placing.insert(placement.run.task);
        // Until the record is there, the task must not be placed again.
        m_changed.insert(placement.run.task.step.workflow);
    }
    output.commands.emplace_back(std::move(command));
    for (const auto& id : std::exchange(m_changed, {})) {
        const auto known = m_tracked.find(id);
        if (known == m_tracked.end())
            continue;
        for (const auto& ref : known->second.ready) {
            const auto ready = m_ready.find(ref);
            std::erase_if(ready->second.tasks, [&](const ReadyStep::Task& task) {
                return m_placing.contains({ ref, task.index });
            });
        }
        std::erase_if(known->second.ready, [&](const StepRef& ref) {
            const bool isEmpty = m_ready.at(ref).tasks.empty();
            if (isEmpty)
                m_ready.erase(ref);
            return isEmpty;
        });
    }
}

void WorkflowScheduler::tellPlacements(const std::vector<Planner::Placement>& placements, TimePoint now)
{
    // Placements of one step follow each other.
    for (size_t first = 0; first < placements.size();) {
        const StepRef& ref = placements[first].run.task.step;
        std::set<WorkerIncarnation> workers;
        size_t end = first;
        for (; end < placements.size() && placements[end].run.task.step == ref; ++end)
            workers.insert(placements[end].life);
        const ReadyStep& step = m_ready.at(ref);
        m_observer.onTasksPlaced(ref, end - first, workers.size(), now - step.readySince, step.latestStart() - now);
        first = end;
    }
}

std::optional<Duration> WorkflowScheduler::checkAdmission(
    const Queue& queue, const WorkflowSpec& spec, double spread, TimePoint now) const
{
    return m_gate.refusal(queue, spec, m_load, m_board.capacity(queue.pool, now), spread);
}

size_t WorkflowScheduler::pendingWorkflows(const QueueName& queue) const
{
    const auto found = m_pendingOfQueue.find(queue);
    return found == m_pendingOfQueue.end() ? 0 : found->second;
}

} // namespace hickoryknot::workflow
