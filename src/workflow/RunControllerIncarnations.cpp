// Runs whose worker has started again, or is silent. Requests name the worker and not its incarnation, so a later
// incarnation may have executed what was sent to an earlier one.

#include <algorithm>

#include "workflow/RunController.h"

namespace hickoryknot::workflow {

namespace {

/// A worker that ends when a long-running task has been there for longer is not taken to have crashed because of it:
/// over weeks many workers end under a task that has no end of its own.
constexpr Duration longRunningCrashWindow = 30s;
/// Consecutive failed calls after which unsent runs are taken back from a worker.
constexpr uint32_t unreachableAfterFailedCalls = 2;
/// Shorter than the time that a worker needs to start again, execute a request and end its run.
constexpr Duration shortestRestart = 100ms;

} // namespace

// The next incarnation's clock starts anew, so a late start there gets a full lease, whatever lease end it carries.
void RunController::recordUnacknowledgedStart(TrackedRun& run, TimePoint now)
{
    run.hasUnacknowledgedStart = true;
    const TimePoint until
        = now + run.maxExecutionDelay + WorkerClock::maxRealTime(m_settings.maxLease) + m_settings.leaseMargin;
    run.unacknowledgedUntil = std::max(run.unacknowledgedUntil.value_or(until), until);
}

MessageSender RunController::onRunResponse(
    const WorkerIncarnation& incarnation, const RunResponse& response, TimePoint sentAt, TimePoint now)
{
    const bool isOther = response.startTimeMs && *response.startTimeMs != incarnation.startTimeMs;
    if (isOther)
        m_workerTracker.markSuperseded(incarnation, *response.startTimeMs, now);
    TrackedWorker* worker = m_workerTracker.find(incarnation);
    if (response.status == WorkerRequestStatus::WrongIncarnation) {
        m_workerTracker.markReplacedAtAddress(incarnation);
        return MessageSender::Other;
    }
    if (response.status == WorkerRequestStatus::NoResponse || response.status == WorkerRequestStatus::NotSent) {
        if (worker)
            onCallFailure(*worker, sentAt, now);
        return MessageSender::Unknown;
    }
    if (isOther || !worker)
        return isOther ? MessageSender::Other : MessageSender::Unknown;
    const auto sender
        = response.startTimeMs ? MessageSender::Addressee : worker->lifetime.senderOf(response.clock, sentAt, now);
    onWorkerContact(*worker, now);
    onResponseTime(now - sentAt, now);
    if (sender == MessageSender::Addressee)
        worker->lifetime.addResponse(response.clock, sentAt, now);
    // A clock alone does not end the addressed incarnation and its runs.
    worker->isInDoubt = worker->isInDoubt || sender == MessageSender::Other;
    return sender;
}

void RunController::onStartExecuted(TrackedRun& run, MessageSender sender, TimePoint now)
{
    // Several unacknowledged retries of one start still result in one run.
    run.hasUnacknowledgedStart = false;
    run.unattributedSince.reset();
    if (sender != MessageSender::Addressee) {
        run.unattributedSince = now;
        ++m_unattributedStarts;
    }
    confirm(run, now);
}

bool RunController::isUnattributed(const TrackedRun& run, const TrackedWorker& worker) const
{
    return run.unattributedSince && !worker.lifetime.wasRunningAt(*run.unattributedSince);
}

bool RunController::mayRunOnNextIncarnation(const TrackedRun& run, const TrackedWorker& worker, TimePoint now) const
{
    if (run.mayStartLate(now))
        return true;
    // The lease began with the start at the latest, and a poll that is still on its way may renew it once.
    const Duration longestRun = 2 * WorkerClock::maxRealTime(m_settings.maxLease) + m_settings.leaseMargin;
    return isUnattributed(run, worker) && now < *run.unattributedSince + longestRun;
}

// A later incarnation that receives the poll drops ends of its own by the numbers of this one. It has none if no start
// can have reached it, or if it has had no time.
bool RunController::mayConfirmEnds(
    const WorkerIncarnation& incarnation, const TrackedWorker& worker, TimePoint now) const
{
    if (worker.consecutiveFailedCalls || worker.isInDoubt)
        return false;
    if (worker.lifetime.wasRunningAt(now - shortestRestart))
        return true;
    const auto runs = m_runsByIncarnation.find(incarnation);
    return runs == m_runsByIncarnation.end()
        || std::none_of(runs->second.begin(), runs->second.end(), [&](const auto& item) {
               const TrackedRun& run = *item.second;
               // Starts that are due are sent together with the poll.
               const bool mayBeOnItsWay
                   = run.phase == TrackedRun::Phase::Unsent || run.phase == TrackedRun::Phase::Sent;
               return mayBeOnItsWay || run.hasUnacknowledgedStart || isUnattributed(run, worker);
           });
}

// Only a worker that has come back shows that it had crashed; a silent one may be partitioned.
RunOutcome RunController::outcomeOnLostWorker(const TrackedRun& run, const TrackedWorker& worker)
{
    const bool isAnnounced = worker.leavingSince || worker.profile.isDraining;
    const bool hasRunForLong = run.spec.isLongRunning && worker.lastContactAt - run.startedAt > longRunningCrashWindow;
    if (!worker.isSuperseded || isAnnounced || hasRunForLong)
        return RunOutcome::Lost;
    return run.wasSeenRunning ? RunOutcome::WorkerCrashed : RunOutcome::WorkerMayHaveCrashed;
}

// Ends the runs whose worker incarnation has ended or whose lease has expired, and unsent runs of unreachable workers.
// A run with an unacknowledged start moves to the next incarnation; while none is known, it waits for one.
void RunController::endLostRuns(
    const WorkerIncarnation& incarnation, const TrackedWorker& worker, bool isIncarnationOver, TimePoint now)
{
    const bool isLeaseOver = now >= worker.leaseEnd;
    const bool isUnreachable = worker.consecutiveFailedCalls >= unreachableAfterFailedCalls;
    if (!isIncarnationOver && !isLeaseOver && !isUnreachable)
        return;
    TrackedWorker* next = m_workerTracker.current(incarnation.worker);
    const bool hasNextIncarnation
        = isIncarnationOver && next && !next->isSuperseded && next->incarnation() != incarnation;
    // Another worker took over the address and rejects requests for this one.
    const bool isReplacedAtAddress = worker.isSuperseded && !hasNextIncarnation;
    // A copy, because a run may move to the next incarnation.
    const auto runs = m_runsByIncarnation.at(incarnation);
    for (const auto& [ref, tracked] : runs) {
        if (!tracked->maySend())
            continue;
        TrackedRun& run = *tracked;
        // Unsent runs can be placed elsewhere immediately.
        if (run.phase == TrackedRun::Phase::Unsent && (isIncarnationOver || isUnreachable))
            finish(run, RunOutcome::NeverStarted, {}, now);
        if (run.phase == TrackedRun::Phase::Unsent || run.phase == TrackedRun::Phase::Ended)
            continue;
        const RunOutcome outcome = run.outcomeOfLostWorker.value_or(outcomeOnLostWorker(run, worker));
        const bool mayRunLater = !isReplacedAtAddress && mayRunOnNextIncarnation(run, worker, now);
        if (hasNextIncarnation && mayRunLater) {
            run.outcomeOfLostWorker = outcome;
            moveToNextIncarnation(run, *next, now);
        } else if ((isIncarnationOver || isLeaseOver) && !mayRunLater) {
            finish(run, outcome, {}, now);
        }
    }
}

// The next incarnation may have executed a start that was sent to this one, or may still do so. Its list of runs shows
// the former; only a confirmed stop rules out the latter. Until then the run takes capacity there.
void RunController::moveToNextIncarnation(TrackedRun& run, TrackedWorker& next, TimePoint now)
{
    const bool mayStartLate = run.mayStartLate(now);
    if (run.callsInFlight)
        recordUnacknowledgedStart(run, now);
    m_orphans.erase(run.run);
    releaseCapacity(run);
    run.incarnation = next.incarnation();
    allocateCapacity(run);
    next.leaseEnd = std::max(next.leaseEnd,
        now + run.maxExecutionDelay + WorkerClock::maxRealTime(m_settings.maxLease) + m_settings.leaseMargin);
    run.callsInFlight = 0;
    run.acknowledgedAt.reset();
    const bool isKept = run.phase == TrackedRun::Phase::Confirmed && !run.isStopRequested && !mayStartLate;
    m_movedRuns.push_back({ .run = run.run, .to = run.incarnation, .isStopped = !isKept });
    next.hasMovedRuns = next.hasMovedRuns || isKept;
    if (isKept)
        return;
    run.phase = TrackedRun::Phase::Stopping;
    run.isStopRequested = true;
    run.isInherited = false;
    run.confirmedAt.reset();
    run.nextAttemptAt = now;
    m_unsettledRuns.insert(run.run);
    if (run.isGang)
        stopGang(run, now);
}

} // namespace hickoryknot::workflow
