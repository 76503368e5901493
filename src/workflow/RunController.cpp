#include "workflow/RunController.h"

#include <algorithm>

#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

namespace {

/// A worker that announced its end is gone for certain this long after; the announcement comes moments before the end.
constexpr Duration leavingTime = 1s;
/// A worker that was not heard for this long is not looked at any more unless something may run there.
constexpr Duration doubtFor = 20s;
/// An order that went without an answer may be carried out this much later, as the platform's pages tell.
constexpr Duration latestCarryOut = 12s;
/// Failed calls in a row after which nothing new is sent to a worker.
constexpr uint32_t unreachableAfter = 2;

} // namespace

void RunController::begin(uint64_t fence, TimePoint now)
{
    clear();
    m_fence = fence;
    const TimePoint leaseEnd = now + WorkerClock::stretched(m_settings.maxLease) + m_settings.leaseMargin;
    for (const auto& placed : m_state.placedRuns()) {
        const StepSpec* spec = specOf(placed.run);
        if (!spec)
            continue;
        WorkerView& view = m_board.fromRun(*placed.life, leaseEnd);
        view.hasInheritedRuns = true;
        RunView& run = add(placed.run, *placed.life, *spec);
        run.phase = RunView::Phase::Sent;
        run.isInherited = true;
        run.hasUnanswered = true;
        run.hasLooseStart = true;
        if (const Queue* queue = m_state.table().find(m_state.find(placed.run.task.step.workflow)->queue)) {
            run.priority = queue->priority;
            run.isTiedToLife = queue->permission.isNeeded;
        }
        run.startedAt = run.progressAt = now;
    }
}

void RunController::clear()
{
    m_runs.clear();
    m_runsOfLife.clear();
    m_unsettled.clear();
    m_strays.clear();
    m_gangs.clear();
    m_ends.clear();
}

const StepSpec* RunController::specOf(const RunRef& run) const
{
    const auto& step = run.task.step;
    const WorkflowRecord* record = m_state.find(step.workflow);
    return record && step.step < record->spec.steps.size() ? &record->spec.steps[step.step] : nullptr;
}

RunView& RunController::add(const RunRef& ref, const WorkerIncarnation& life, const StepSpec& spec)
{
    RunView& run = m_runs[ref];
    run.run = ref;
    run.life = life;
    run.spec = spec;
    run.isGang = spec.isGang;
    m_runsOfLife[life].insert(ref);
    m_unsettled.insert(ref);
    if (WorkerView* view = m_board.find(life))
        WorkerTracker::occupy(*view, ref.task.step, spec);
    if (spec.isGang)
        m_gangs[{ ref.task.step, ref.run }].members.insert(ref);
    return run;
}

void RunController::leaveLife(const RunView& run)
{
    if (WorkerView* view = m_board.find(run.life))
        WorkerTracker::release(*view, run.run.task.step, run.spec);
    const auto ofLife = m_runsOfLife.find(run.life);
    ofLife->second.erase(run.run);
    if (ofLife->second.empty())
        m_runsOfLife.erase(ofLife);
}

void RunController::remove(const RunRef& ref)
{
    const auto found = m_runs.find(ref);
    if (found == m_runs.end())
        return;
    const RunView& run = found->second;
    leaveLife(run);
    if (run.isGang) {
        const auto gang = m_gangs.find({ ref.task.step, ref.run });
        gang->second.members.erase(ref);
        if (gang->second.members.empty())
            m_gangs.erase(gang);
    }
    m_unsettled.erase(ref);
    m_runs.erase(found);
}

void RunController::proposed(
    const RunRef& ref, const WorkerIncarnation& life, const StepSpec& spec, uint32_t priority, std::string permit)
{
    RunView& run = add(ref, life, spec);
    run.priority = priority;
    run.permit = std::move(permit);
    run.isTiedToLife = !run.permit.empty();
}

std::vector<const RunView*> RunController::runsOn(const WorkerIncarnation& life) const
{
    std::vector<const RunView*> runs;
    const auto ofLife = m_runsOfLife.find(life);
    if (ofLife == m_runsOfLife.end())
        return runs;
    for (const auto& ref : ofLife->second)
        runs.push_back(&m_runs.at(ref));
    return runs;
}

void RunController::settled(const RunRef& ref, bool isRecorded, TimePoint now)
{
    const auto found = m_runs.find(ref);
    if (found == m_runs.end())
        return;
    if (!isRecorded) {
        remove(ref);
        return;
    }
    RunView& run = found->second;
    run.phase = RunView::Phase::Unsent;
    run.startedAt = run.progressAt = now;
    if (run.isStopWanted)
        finish(run, RunOutcome::NeverStarted, {}, now);
}

void RunController::requestStop(const RunRef& ref, TimePoint now)
{
    const auto found = m_runs.find(ref);
    if (found == m_runs.end() || found->second.isStopWanted)
        return;
    RunView& run = found->second;
    run.isStopWanted = true;
    if (run.phase == RunView::Phase::Unsent)
        return finish(run, RunOutcome::NeverStarted, {}, now);
    if (!run.maySend())
        return;
    run.phase = RunView::Phase::Stopping;
    run.nextTry = now;
    m_unsettled.insert(ref);
}

// The end is handed out for recording; the room is kept until settled.
void RunController::finish(RunView& run, RunOutcome end, std::string checkpoint, TimePoint now)
{
    if (run.phase == RunView::Phase::Ended)
        return;
    const bool isComplete = end == RunOutcome::Done || end == RunOutcome::Failed;
    if (checkpoint.empty() && !isComplete)
        checkpoint = run.checkpoint;
    if (WorkerView* view = m_board.find(run.life))
        m_board.runEnded(*view, end, now);
    run.phase = RunView::Phase::Ended;
    m_unsettled.erase(run.run);
    m_ends.push_back({ .run = run.run, .end = end, .checkpoint = std::move(checkpoint) });
    if (!run.isGang)
        return;
    // Members that are left alone would wait for the others in vain.
    Gang& gang = m_gangs.at({ run.run.task.step, run.run.run });
    gang.hasEnded = true;
    if (end != RunOutcome::Done)
        breakGang(run, now);
}

void RunController::breakGang(const RunView& run, TimePoint now)
{
    Gang& gang = m_gangs.at({ run.run.task.step, run.run.run });
    if (std::exchange(gang.isBreaking, true))
        return;
    const std::vector<RunRef> members(gang.members.begin(), gang.members.end());
    for (const auto& member : members)
        requestStop(member, now);
}

void RunController::confirm(RunView& run, TimePoint now)
{
    run.isInherited = false;
    if (run.phase != RunView::Phase::Sent)
        return;
    run.phase = RunView::Phase::Confirmed;
    run.presentSince = now;
    m_unsettled.erase(run.run);
    if (run.isGang)
        ++m_gangs.at({ run.run.task.step, run.run.run }).confirmed;
}

// The worker surely did nothing on this call. An earlier one without an answer may still be carried out, unless a stop
// of this run comes before it.
void RunController::refused(RunView& run, TimePoint now)
{
    if (!run.hasUnanswered)
        return finish(run, RunOutcome::NeverStarted, {}, now);
    run.isStopWanted = true;
    run.phase = RunView::Phase::Stopping;
    run.nextTry = now;
    m_unsettled.insert(run.run);
}

void RunController::lifeLeft(const WorkerIncarnation& life, TimePoint now)
{
    if (WorkerView* view = m_board.find(life))
        view->leftAt = now;
}

std::optional<WorkerClockMs> RunController::leaseFor(WorkerView& view, TimePoint now)
{
    if (!view.clock.isKnown())
        return std::nullopt;
    const WorkerClockMs until = view.clock.atLeast(now) + m_settings.maxLease / 1ms;
    // Whoever carries the order out, and whenever: nothing runs past this moment because of it.
    view.leaseEnd = std::max(view.leaseEnd, view.clock.surelyReached(until) + m_settings.leaseMargin);
    return until;
}

void RunController::advance(TimePoint now, Requests& orders)
{
    checkGangs(now);
    for (auto& [life, view] : m_board.workers())
        advanceLife(life, view, now, orders);
    const std::vector<RunRef> unsettled(m_unsettled.begin(), m_unsettled.end());
    for (const auto& ref : unsettled) {
        const auto found = m_runs.find(ref);
        if (found != m_runs.end())
            advanceRun(found->second, now, orders);
    }
    advanceStrays(now, orders);
}

void RunController::checkGangs(TimePoint now)
{
    std::vector<RunRef> late;
    for (const auto& [key, gang] : m_gangs) {
        const bool isIncomplete = gang.hasFirstSent && !gang.hasEnded && gang.confirmed < gang.members.size();
        if (isIncomplete && !gang.isBreaking
            && now - gang.firstSentAt > m_settings.gangStartTimeout - m_settings.gangMargin)
            late.push_back(*gang.members.begin());
    }
    for (const auto& ref : late) {
        const RunView& run = m_runs.at(ref);
        // A gang that an earlier leader started is judged by what its workers list.
        if (!run.isInherited)
            breakGang(run, now);
    }
}

void RunController::advanceLife(const WorkerIncarnation& life, WorkerView& view, TimePoint now, Requests& orders)
{
    const bool hasRuns = !view.tasksOfStep.empty();
    const bool isOver = (view.leftAt && now - *view.leftAt > leavingTime && !view.isLookInFlight) || view.isSucceeded;
    if (hasRuns)
        loseEnded(life, view, isOver, now);
    if (isOver || view.isLookInFlight || now < view.nextLookAt)
        return;
    const bool hasStrays
        = std::any_of(m_strays.begin(), m_strays.end(), [&](const auto& stray) { return stray.second.life == life; });
    const bool isUnfenced = view.isProfileKnown && !view.isFenced && !view.clock.isKnown();
    const bool isOwed = view.confirmedEnds < view.recordedEnds;
    // A worker that did not answer gets no work until a look shows that it is there again.
    const bool isDoubtful = view.failedCalls > 0 && now >= view.usableFrom && now - view.heardAt < doubtFor;
    if (!hasRuns && !hasStrays && !isUnfenced && !isOwed && !isDoubtful)
        return;
    // While ends wait for their record, another look would list them again at once.
    if (view.recordedEnds < view.seenEnds)
        return;
    // A first look, or one after a failure, does not wait: what runs there must be known soon.
    const bool mayWait = view.isFenced && !view.failedCalls && hasRuns;
    // Each renewal that may yet arrive puts off the moment at which the runs count as over, so a worker that does not
    // answer gets none: its runs could never be started elsewhere.
    const bool isRenewing = hasRuns && !view.failedCalls;
    view.isLookInFlight = true;
    orders.polls.push_back({ .incarnation = life,
        .fence = m_fence,
        .lastRecordedEnd = view.recordedEnds,
        .leaseUntil = isRenewing ? leaseFor(view, now) : std::nullopt,
        .maxWait = mayWait ? m_settings.lookWait : Duration(0) });
}

// Ends the runs that the end of their worker's life, or of its lease, has ended.
void RunController::loseEnded(const WorkerIncarnation& life, const WorkerView& view, bool isLifeOver, TimePoint now)
{
    const bool isLeaseOver = now >= view.leaseEnd;
    const bool isUnreachable = view.failedCalls >= unreachableAfter;
    if (!isLifeOver && !isLeaseOver && !isUnreachable)
        return;
    WorkerView* next = m_board.current(life.worker);
    const bool hasNextLife = isLifeOver && next && next->life().startTimeMs > life.startTimeMs;
    const auto& refs = m_runsOfLife.at(life);
    const std::vector<RunRef> runs(refs.begin(), refs.end());
    for (const auto& ref : runs) {
        const auto found = m_runs.find(ref);
        if (found == m_runs.end() || !found->second.maySend())
            continue;
        RunView& run = found->second;
        // What was never sent may go elsewhere at once.
        if (run.phase == RunView::Phase::Unsent && (isLifeOver || isUnreachable))
            finish(run, RunOutcome::NeverStarted, {}, now);
        else if (run.phase != RunView::Phase::Unsent && hasNextLife && run.mayReachNextLife())
            moveToNextLife(run, *next, now);
        else if (run.phase != RunView::Phase::Unsent && (isLifeOver || isLeaseOver))
            finish(run, RunOutcome::Lost, {}, now);
    }
}

// The next life may run a start that was meant for this one, now or later. A stop excludes that; until it is confirmed,
// the run takes its room there.
void RunController::moveToNextLife(RunView& run, WorkerView& next, TimePoint now)
{
    leaveLife(run);
    run.life = next.life();
    m_runsOfLife[run.life].insert(run.run);
    WorkerTracker::occupy(next, run.run.task.step, run.spec);
    next.leaseEnd = std::max(
        next.leaseEnd, now + latestCarryOut + WorkerClock::stretched(m_settings.maxLease) + m_settings.leaseMargin);
    run.phase = RunView::Phase::Stopping;
    run.isStopWanted = true;
    run.isInherited = run.isCallInFlight = false;
    run.presentSince.reset();
    run.nextTry = now;
    m_unsettled.insert(run.run);
    if (run.isGang)
        breakGang(run, now);
}

void RunController::advanceRun(RunView& run, TimePoint now, Requests& orders)
{
    if (!run.maySend() || run.isCallInFlight || now < run.nextTry)
        return;
    WorkerView* view = m_board.find(run.life);
    if (!view || run.isInherited)
        return;
    if (run.phase == RunView::Phase::Stopping) {
        run.isCallInFlight = true;
        orders.stops.push_back({ .incarnation = run.life, .run = run.run, .fence = m_fence });
        return;
    }
    if (run.phase != RunView::Phase::Unsent && run.phase != RunView::Phase::Sent)
        return;
    if (run.phase == RunView::Phase::Sent && view->failedCalls && now < view->usableFrom)
        return;
    const WorkflowRecord* record = m_state.find(run.run.task.step.workflow);
    const TaskRecord* task = record ? record->find(run.run.task) : nullptr;
    // A start that is repeated to a worker that does not answer keeps its lease: with a new one each time, the run
    // would never count as over.
    const auto until = run.leaseUntil && view->failedCalls ? run.leaseUntil : leaseFor(*view, now);
    if (!task || !until)
        return;
    run.phase = RunView::Phase::Sent;
    run.leaseUntil = until;
    run.isCallInFlight = true;
    if (!view->waitingSince)
        view->waitingSince = now;
    if (run.isGang) {
        Gang& gang = m_gangs.at({ run.run.task.step, run.run.run });
        if (!std::exchange(gang.hasFirstSent, true))
            gang.firstSentAt = now;
    }
    orders.starts.push_back({ .incarnation = run.life,
        .run = run.run,
        .command = record->spec.command,
        .checkpoint = task->checkpoint,
        .permissionToken = run.permit,
        .leaseUntil = *until,
        .fence = m_fence });
}

void RunController::advanceStrays(TimePoint now, Requests& orders)
{
    for (auto& [ref, stray] : m_strays) {
        if (stray.isInFlight || stray.isConfirmed || now < stray.nextTry)
            continue;
        stray.isInFlight = true;
        orders.stops.push_back({ .incarnation = stray.life, .run = ref, .fence = m_fence });
    }
}

std::vector<EndRuns::Entry> RunController::takeEnds() { return std::exchange(m_ends, {}); }

RunController::RecordedMark RunController::mark() const
{
    RecordedMark mark;
    for (const auto& [life, view] : m_board.workers()) {
        if (view.recordedEnds < view.seenEnds)
            mark.ends.emplace_back(life, view.seenEnds);
    }
    return mark;
}

void RunController::recorded(const RecordedMark& mark)
{
    for (const auto& [life, number] : mark.ends) {
        if (WorkerView* view = m_board.find(life))
            view->recordedEnds = std::max(view->recordedEnds, number);
    }
}

const RunView* RunController::find(const RunRef& ref) const
{
    const auto found = m_runs.find(ref);
    return found == m_runs.end() ? nullptr : &found->second;
}

} // namespace hickoryknot::workflow
