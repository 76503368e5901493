#include "workflow/RunController.h"

#include <algorithm>

#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

namespace {

/// Time after which a worker that announced its shutdown is considered gone; the announcement precedes the exit by
/// moments.
constexpr Duration leavingGracePeriod = 1s;
/// A worker without contact for this long is no longer polled unless runs may exist there.
constexpr Duration maxContactAge = 20s;
/// Maximum delay, according to the platform documentation, after which an unacknowledged request may still be executed.
constexpr Duration maxExecutionDelay = 12s;
/// While a worker leaves calls unanswered, a start is retried for this long; then a poll must succeed first. Covers a
/// broken connection, which the next attempt replaces.
constexpr Duration startRetryWindow = 2s;
/// A worker that responded this recently before a placement gets its start without a probe: the end that freed the
/// capacity was listed and committed within this time.
constexpr Duration maxAgeOfSignOfLife = 100ms;
/// Copies of one request that may be without a response at the same time. If half of all requests are lost, one of 32
/// loses all of them.
constexpr uint32_t maxCopies = 5;

} // namespace

void RunController::takeOverRuns(uint64_t fence, TimePoint now)
{
    clear();
    m_fence = fence;
    const TimePoint leaseEnd = now + WorkerClock::maxRealTime(m_settings.maxLease) + m_settings.leaseMargin;
    for (const auto& placed : m_state.placedRuns()) {
        const StepSpec* spec = findSpec(placed.run);
        if (!spec)
            continue;
        TrackedWorker& worker = m_workerTracker.addForRun(*placed.incarnation, leaseEnd);
        worker.hasInheritedRuns = true;
        TrackedRun& run = add(placed.run, *placed.incarnation, *spec);
        run.phase = TrackedRun::Phase::Sent;
        run.isInherited = true;
        if (const Queue* queue = findQueue(placed.run)) {
            run.priority = queue->priority;
            if (queue->permission.isNeeded)
                run.maxExecutionDelay = std::min(run.maxExecutionDelay, queue->permission.validity);
        }
        recordUnacknowledgedStart(run, now);
        run.startedAt = run.lastProgressAt = now;
    }
}

void RunController::clear()
{
    m_runs.clear();
    m_organisationUsage.clear();
    m_runsByIncarnation.clear();
    m_unsettledRuns.clear();
    m_orphans.clear();
    m_gangs.clear();
    m_ends.clear();
    m_movedRuns.clear();
    m_startedWorkflows.clear();
}

const StepSpec* RunController::findSpec(const RunRef& run) const
{
    const auto& step = run.task.step;
    const WorkflowRecord* record = m_state.find(step.workflow);
    return record && step.step < record->spec.steps.size() ? &record->spec.steps[step.step] : nullptr;
}

const Queue* RunController::findQueue(const RunRef& run) const
{
    const WorkflowRecord* record = m_state.find(run.task.step.workflow);
    return record ? m_state.findQueue(*record) : nullptr;
}

TrackedRun& RunController::add(const RunRef& ref, const WorkerIncarnation& incarnation, const StepSpec& spec)
{
    const auto [entry, isNew] = m_runs.try_emplace(ref);
    TrackedRun& run = entry->second;
    if (!isNew)
        m_organisationUsage.remove(run.organisation, run.spec.perTask);
    run.run = ref;
    run.incarnation = incarnation;
    run.spec = spec;
    run.isGang = spec.isGang;
    run.maxExecutionDelay = maxExecutionDelay;
    const WorkflowRecord* record = m_state.find(ref.task.step.workflow);
    const TaskRecord* task = record ? record->find(ref.task) : nullptr;
    run.isSuspect = task && task->isSuspect();
    run.organisation = record ? record->organisation : OrganisationName {};
    m_organisationUsage.add(run.organisation, spec.perTask);
    m_unsettledRuns.insert(ref);
    allocateCapacity(run);
    if (spec.isGang)
        m_gangs[{ ref.task.step, ref.run }].members.insert(ref);
    return run;
}

void RunController::allocateCapacity(TrackedRun& run)
{
    m_runsByIncarnation[run.incarnation].emplace(run.run, &run);
    TrackedWorker* worker = m_workerTracker.find(run.incarnation);
    if (!worker)
        return;
    WorkerTracker::allocate(*worker, run.run.task.step, run.spec);
    worker->suspectRuns += run.isSuspect ? 1 : 0;
    worker->longRunningRuns += run.spec.isLongRunning ? 1 : 0;
}

void RunController::releaseCapacity(const TrackedRun& run)
{
    if (TrackedWorker* worker = m_workerTracker.find(run.incarnation)) {
        WorkerTracker::release(*worker, run.run.task.step, run.spec);
        worker->suspectRuns -= run.isSuspect ? 1 : 0;
        worker->longRunningRuns -= run.spec.isLongRunning ? 1 : 0;
    }
    const auto entry = m_runsByIncarnation.find(run.incarnation);
    entry->second.erase(run.run);
    if (entry->second.empty())
        m_runsByIncarnation.erase(entry);
}

void RunController::remove(const RunRef& ref)
{
    const auto found = m_runs.find(ref);
    if (found == m_runs.end())
        return;
    const TrackedRun& run = found->second;
    releaseCapacity(run);
    m_organisationUsage.remove(run.organisation, run.spec.perTask);
    if (run.isGang) {
        const auto gang = m_gangs.find({ ref.task.step, ref.run });
        gang->second.members.erase(ref);
        if (gang->second.members.empty())
            m_gangs.erase(gang);
    }
    m_unsettledRuns.erase(ref);
    m_runs.erase(found);
}

void RunController::addProposedRun(const RunRef& ref, const WorkerIncarnation& incarnation, const StepSpec& spec,
    uint32_t priority, std::string permissionToken)
{
    TrackedRun& run = add(ref, incarnation, spec);
    run.priority = priority;
    run.permissionToken = std::move(permissionToken);
    const Queue* queue = run.permissionToken.empty() ? nullptr : findQueue(ref);
    if (queue && queue->permission.isNeeded)
        run.maxExecutionDelay = std::min(run.maxExecutionDelay, queue->permission.validity);
}

void RunController::setLearnedRunTime(const RunRef& ref, Duration runTime)
{
    if (const auto found = m_runs.find(ref); found != m_runs.end())
        found->second.learnedRunTime = runTime;
}

std::vector<const TrackedRun*> RunController::runsOn(const WorkerIncarnation& incarnation) const
{
    std::vector<const TrackedRun*> runs;
    const auto entry = m_runsByIncarnation.find(incarnation);
    if (entry == m_runsByIncarnation.end())
        return runs;
    runs.reserve(entry->second.size());
    for (const auto& [ref, run] : entry->second)
        runs.push_back(run);
    return runs;
}

void RunController::onPlacementCommitted(const RunRef& ref, bool isRecorded, TimePoint now)
{
    const auto found = m_runs.find(ref);
    if (found == m_runs.end())
        return;
    if (!isRecorded) {
        remove(ref);
        return;
    }
    TrackedRun& run = found->second;
    run.phase = TrackedRun::Phase::Unsent;
    run.startedAt = run.lastProgressAt = now;
    if (run.isStopRequested)
        finish(run, RunOutcome::NeverStarted, {}, now);
}

void RunController::requestStop(const RunRef& ref, TimePoint now)
{
    const auto found = m_runs.find(ref);
    if (found == m_runs.end() || found->second.isStopRequested)
        return;
    TrackedRun& run = found->second;
    run.isStopRequested = true;
    if (run.phase == TrackedRun::Phase::Unsent)
        return finish(run, RunOutcome::NeverStarted, {}, now);
    if (!run.maySend())
        return;
    run.phase = TrackedRun::Phase::Stopping;
    run.nextAttemptAt = now;
    m_unsettledRuns.insert(ref);
}

// Queues the end for the log; the capacity stays allocated until the end is committed.
void RunController::finish(TrackedRun& run, RunOutcome outcome, std::string checkpoint, TimePoint now)
{
    if (run.phase == TrackedRun::Phase::Ended)
        return;
    if (outcome == RunOutcome::NeverStarted || outcome == RunOutcome::Lost)
        outcome = run.outcomeOfLostWorker.value_or(outcome);
    const bool isComplete = outcome == RunOutcome::Done || outcome == RunOutcome::Failed;
    if (checkpoint.empty() && !isComplete)
        checkpoint = run.checkpoint;
    if (TrackedWorker* worker = m_workerTracker.find(run.incarnation))
        m_workerTracker.onRunEnded(*worker, outcome, now);
    run.phase = TrackedRun::Phase::Ended;
    run.endedAt = now;
    m_unsettledRuns.erase(run.run);
    m_ends.push_back({ .run = run.run, .outcome = outcome, .checkpoint = std::move(checkpoint) });
    if (!run.isGang)
        return;
    // The remaining members would wait for the ended one in vain.
    Gang& gang = m_gangs.at({ run.run.task.step, run.run.run });
    gang.hasEnded = true;
    if (outcome != RunOutcome::Done)
        stopGang(run, now);
}

void RunController::stopGang(const TrackedRun& run, TimePoint now)
{
    Gang& gang = m_gangs.at({ run.run.task.step, run.run.run });
    if (std::exchange(gang.isStopping, true))
        return;
    const std::vector<RunRef> members(gang.members.begin(), gang.members.end());
    for (const auto& member : members)
        requestStop(member, now);
}

void RunController::confirm(TrackedRun& run, TimePoint now)
{
    run.isInherited = false;
    if (!std::exchange(run.wasSeenRunning, true)) {
        const WorkflowRecord* record = m_state.find(run.run.task.step.workflow);
        if (record && !record->hasStarted)
            m_startedWorkflows.insert(record->id);
    }
    if (run.phase != TrackedRun::Phase::Sent)
        return;
    run.phase = TrackedRun::Phase::Confirmed;
    run.confirmedAt = now;
    m_unsettledRuns.erase(run.run);
    if (run.isGang)
        ++m_gangs.at({ run.run.task.step, run.run.run }).confirmed;
}

// The worker did not execute this request. An earlier unacknowledged one may still be executed unless a stop of this
// run arrives first.
void RunController::onStartRejected(TrackedRun& run, TimePoint now)
{
    if (!run.hasUnacknowledgedStart && !run.callsInFlight)
        return finish(run, RunOutcome::NeverStarted, {}, now);
    run.isStopRequested = true;
    run.phase = TrackedRun::Phase::Stopping;
    run.nextAttemptAt = now;
    m_unsettledRuns.insert(run.run);
}

void RunController::onWorkerLeaving(const WorkerIncarnation& incarnation, TimePoint now)
{
    if (TrackedWorker* worker = m_workerTracker.find(incarnation))
        worker->leavingSince = now;
}

std::optional<WorkerClockMs> RunController::extendLease(TrackedWorker& worker, TimePoint now)
{
    const WorkerClock& clock = worker.lifetime.clock();
    if (!clock.isKnown())
        return std::nullopt;
    const Duration lease
        = worker.longRunningRuns ? std::min(m_settings.longRunningLease, m_settings.maxLease) : m_settings.maxLease;
    const WorkerClockMs until = clock.lowerBound(now) + lease / 1ms;
    // Upper bound for every run that this incarnation starts or renews by this request, no matter when.
    worker.leaseEnd = std::max(worker.leaseEnd, clock.latestTimeOf(until) + m_settings.leaseMargin);
    return until;
}

void RunController::advance(TimePoint now, Requests& requests)
{
    checkGangs(now);
    for (auto& [incarnation, worker] : m_workerTracker.workers())
        advanceWorker(incarnation, worker, now, requests);
    const std::vector<RunRef> unsettled(m_unsettledRuns.begin(), m_unsettledRuns.end());
    for (const auto& ref : unsettled) {
        const auto found = m_runs.find(ref);
        if (found != m_runs.end())
            advanceRun(found->second, now, requests);
    }
    advanceOrphans(now, requests);
}

void RunController::checkGangs(TimePoint now)
{
    std::vector<RunRef> timedOut;
    for (const auto& [key, gang] : m_gangs) {
        const bool isIncomplete = gang.hasFirstSent && !gang.hasEnded && gang.confirmed < gang.members.size();
        if (isIncomplete && !gang.isStopping
            && now - gang.firstSentAt > m_settings.gangStartTimeout - m_settings.gangStopMargin)
            timedOut.push_back(*gang.members.begin());
    }
    for (const auto& ref : timedOut) {
        const TrackedRun& run = m_runs.at(ref);
        // For gangs started by an earlier leader, the reports of the workers decide.
        if (!run.isInherited)
            stopGang(run, now);
    }
}

void RunController::advanceWorker(
    const WorkerIncarnation& incarnation, TrackedWorker& worker, TimePoint now, Requests& requests)
{
    const bool hasRuns = !worker.taskCountByStep.empty();
    const bool isOver
        = (worker.leavingSince && now - *worker.leavingSince > leavingGracePeriod && !worker.pollsInFlight)
        || worker.isSuperseded;
    if (hasRuns)
        endLostRuns(incarnation, worker, isOver, now);
    if (isOver || now < worker.nextPollAt)
        return;
    if (worker.pollOverdueAt) {
        if (now >= *worker.pollOverdueAt)
            probe(worker, now, requests);
        return;
    }
    const bool hasOrphans = std::any_of(m_orphans.begin(), m_orphans.end(),
        [&](const auto& orphan) { return orphan.second.incarnation == incarnation; });
    const bool needsResponse = worker.isInDoubt || (worker.isProfileKnown && !worker.hasConfirmedFence);
    const bool hasUnconfirmedEnds = worker.lastConfirmedEnd < worker.lastRecordedEnd;
    // A worker that did not respond gets no work until a poll succeeds.
    const bool isRetryDue
        = worker.consecutiveFailedCalls > 0 && now >= worker.backoffEnd && now - worker.lastContactAt < maxContactAge;
    if (!hasRuns && !hasOrphans && !needsResponse && !hasUnconfirmedEnds && !isRetryDue)
        return;
    // Until the received ends are committed, another poll would return them again immediately.
    if (worker.lastRecordedEnd < worker.lastReceivedEnd)
        return;
    // The first poll and polls after a failure return immediately, because the running tasks must be known soon; so do
    // polls for the rest of a list of ends, and those that decide about runs of an earlier incarnation.
    const bool mayWait = worker.hasConfirmedFence && !worker.isInDoubt && !worker.hasMovedRuns
        && !worker.consecutiveFailedCalls && !worker.hasMoreEnds && hasRuns;
    // Each renewal that may still arrive postpones the time at which the runs count as lost. A worker that does not
    // respond therefore gets no renewals; otherwise its runs could never be started elsewhere.
    const bool isRenewing = hasRuns && !worker.consecutiveFailedCalls;
    const uint64_t confirmedEnd = mayConfirmEnds(incarnation, worker, now) ? worker.lastRecordedEnd : 0;
    const Duration longWait = m_responseTimes.isLossy(now) ? m_settings.lossyPollWait : m_settings.pollWait;
    const Duration maxWait = mayWait ? longWait : Duration(0);
    ++worker.pollsInFlight;
    worker.pollSentAt = now;
    worker.pollOverdueAt = now + maxWait + m_responseTimes.overdueAfter(now);
    requests.polls.push_back({ .incarnation = incarnation,
        .fence = m_fence,
        .lastRecordedEnd = confirmedEnd,
        .leaseUntil = isRenewing ? extendLease(worker, now) : std::nullopt,
        .maxWait = maxWait });
}

// An unacknowledged start without a permission token keeps its task from other workers for the longest execution delay
// and a whole lease. A worker that has only just vanished must not get one.
bool RunController::hasSignOfLife(const TrackedRun& run, const TrackedWorker& worker, TimePoint now)
{
    // Before its first response, the planner places nothing on a worker.
    if (!run.permissionToken.empty() || !worker.hasConfirmedFence)
        return true;
    if (run.phase == TrackedRun::Phase::Sent)
        return worker.lifetime.wasRunningAfter(run.sentAt);
    const TimePoint placedAt = run.phase == TrackedRun::Phase::Proposed ? now : run.startedAt;
    return worker.lifetime.wasRunningAt(placedAt - maxAgeOfSignOfLife);
}

void RunController::probe(TrackedWorker& worker, TimePoint now, Requests& requests)
{
    const bool isWaiting = worker.probeOverdueAt && now < *worker.probeOverdueAt;
    if (isWaiting || now < worker.backoffEnd || worker.pollsInFlight >= maxCopies)
        return;
    if (worker.pollsInFlight && !m_resendBudget.take(now))
        return;
    ++worker.pollsInFlight;
    worker.probeOverdueAt = now + m_responseTimes.overdueAfter(now);
    requests.polls.push_back({ .incarnation = worker.incarnation(), .fence = m_fence, .isProbe = true });
}

bool RunController::maySendNow(const TrackedRun& run, const TrackedWorker& worker, TimePoint now)
{
    if (!run.callsInFlight)
        return now >= run.nextAttemptAt;
    const bool isOverdue = now - run.sentAt >= m_responseTimes.overdueAfter(now);
    return isOverdue && run.callsInFlight < maxCopies && !worker.consecutiveFailedCalls && m_resendBudget.take(now);
}

void RunController::advanceRun(TrackedRun& run, TimePoint now, Requests& requests)
{
    TrackedWorker* proposedWorker
        = run.phase == TrackedRun::Phase::Proposed ? m_workerTracker.find(run.incarnation) : nullptr;
    // The response arrives while the placement is committed.
    if (proposedWorker && !hasSignOfLife(run, *proposedWorker, now))
        probe(*proposedWorker, now, requests);
    TrackedWorker* worker = m_workerTracker.find(run.incarnation);
    if (!run.maySend() || !worker || run.isInherited || !maySendNow(run, *worker, now))
        return;
    if (run.phase == TrackedRun::Phase::Stopping) {
        ++run.callsInFlight;
        run.sentAt = now;
        requests.stops.push_back({ .incarnation = run.incarnation, .run = run.run, .fence = m_fence });
        return;
    }
    if (run.phase != TrackedRun::Phase::Unsent && run.phase != TrackedRun::Phase::Sent)
        return;
    // The worker's capacity may have shrunk since the placement. A run that a silent worker may have is kept.
    const Resources demand = resourceDemand(run.spec);
    const bool stillFits = demand.isCoveredBy(worker->free() + demand);
    const bool isCapacityKnown = m_workerTracker.isProfileCurrent(*worker, now);
    if (!stillFits || (!isCapacityKnown && run.phase == TrackedRun::Phase::Unsent))
        return onStartRejected(run, now);
    if (!isCapacityKnown)
        return;
    // Each retry without a response may be executed late, which postpones the time at which the run counts as lost.
    if (run.phase == TrackedRun::Phase::Sent && worker->consecutiveFailedCalls
        && (now < worker->backoffEnd || now - run.startedAt > startRetryWindow))
        return;
    if (!hasSignOfLife(run, *worker, now))
        return probe(*worker, now, requests);
    const WorkflowRecord* record = m_state.find(run.run.task.step.workflow);
    const TaskRecord* task = record ? record->find(run.run.task) : nullptr;
    // A retry to a worker that does not respond keeps its lease end. With a new lease per retry, the run would never
    // count as lost.
    const auto until = run.leaseUntil && worker->consecutiveFailedCalls ? run.leaseUntil : extendLease(*worker, now);
    if (!task || !until)
        return;
    run.phase = TrackedRun::Phase::Sent;
    run.sentAt = now;
    run.firstSentAt = run.firstSentAt.value_or(now);
    run.isResumed = !task->checkpoint.empty();
    run.leaseUntil = until;
    ++run.callsInFlight;
    if (!worker->pendingStartSince)
        worker->pendingStartSince = now;
    if (run.isGang) {
        Gang& gang = m_gangs.at({ run.run.task.step, run.run.run });
        if (!std::exchange(gang.hasFirstSent, true))
            gang.firstSentAt = now;
    }
    requests.starts.push_back({ .incarnation = run.incarnation,
        .run = run.run,
        .command = record->spec.command,
        .checkpoint = task->checkpoint,
        .permissionToken = run.permissionToken,
        .leaseUntil = *until,
        .fence = m_fence });
}

void RunController::advanceOrphans(TimePoint now, Requests& requests)
{
    for (auto& [ref, orphan] : m_orphans) {
        if (orphan.isInFlight || orphan.isConfirmed || now < orphan.nextAttemptAt)
            continue;
        orphan.isInFlight = true;
        requests.stops.push_back({ .incarnation = orphan.incarnation, .run = ref, .fence = m_fence });
    }
}

std::vector<EndRuns::Entry> RunController::drainEnds() { return std::exchange(m_ends, {}); }

std::vector<RunController::MovedRun> RunController::drainMovedRuns() { return std::exchange(m_movedRuns, {}); }

std::vector<WorkflowId> RunController::drainStartedWorkflows()
{
    std::vector<WorkflowId> started(m_startedWorkflows.begin(), m_startedWorkflows.end());
    m_startedWorkflows.clear();
    return started;
}

RunController::ReceivedEnds RunController::receivedEnds() const
{
    ReceivedEnds received;
    for (const auto& [incarnation, worker] : m_workerTracker.workers()) {
        if (worker.lastRecordedEnd < worker.lastReceivedEnd)
            received.ends.emplace_back(incarnation, worker.lastReceivedEnd);
    }
    return received;
}

void RunController::onEndsCommitted(const ReceivedEnds& received)
{
    for (const auto& [incarnation, number] : received.ends) {
        if (TrackedWorker* worker = m_workerTracker.find(incarnation))
            worker->lastRecordedEnd = std::max(worker->lastRecordedEnd, number);
    }
}

const TrackedRun* RunController::find(const RunRef& ref) const
{
    const auto found = m_runs.find(ref);
    return found == m_runs.end() ? nullptr : &found->second;
}

} // namespace hickoryknot::workflow
