// Handling of responses to start, stop and poll requests.

#include <algorithm>

#include "workflow/RunController.h"

namespace hickoryknot::workflow {

namespace {

/// Maximum backoff after failed calls to a worker.
constexpr Duration maxBackoff = 1s;

} // namespace

void RunController::onWorkerContact(TrackedWorker& worker, TimePoint now)
{
    worker.lastContactAt = std::max(worker.lastContactAt, now);
    worker.consecutiveFailedCalls = 0;
    worker.pendingStartSince.reset();
}

void RunController::onResponseTime(Duration duration, TimePoint now)
{
    m_responseTimes.addResponse(duration, now);
    m_resendBudget.onResponse();
}

void RunController::onCallFailure(TrackedWorker& worker, TimePoint sentAt, TimePoint now)
{
    if (worker.lifetime.wasRunningAfter(sentAt))
        return m_responseTimes.addUnanswered(now);
    backOff(worker, now);
}

void RunController::backOff(TrackedWorker& worker, TimePoint now)
{
    ++worker.consecutiveFailedCalls;
    worker.pendingStartSince.reset();
    const Duration backoff
        = std::min(maxBackoff, m_settings.retryDelay * (1 << std::min(worker.consecutiveFailedCalls, 4U)));
    worker.backoffEnd = now + backoff;
}

void RunController::onStartResponse(
    const StartRunRequest& request, const RunResponse& response, TimePoint sentAt, TimePoint now)
{
    const MessageSender sender = onRunResponse(request.incarnation, response, sentAt, now);
    const auto found = m_runs.find(request.run);
    if (found == m_runs.end() || found->second.incarnation != request.incarnation)
        return;
    TrackedRun& run = found->second;
    run.callsInFlight -= run.callsInFlight ? 1 : 0;
    if (run.phase == TrackedRun::Phase::Ended)
        return;
    switch (response.status) {
    case WorkerRequestStatus::Done:
        if (!run.isInherited && sender == MessageSender::Addressee && run.phase == TrackedRun::Phase::Sent)
            run.acknowledgedAt = run.acknowledgedAt.value_or(now);
        [[fallthrough]];
    case WorkerRequestStatus::Outdated: // The run existed and has ended; the next poll reports the outcome.
        onStartExecuted(run, sender, now);
        break;
    case WorkerRequestStatus::NoResponse:
        recordUnacknowledgedStart(run, now);
        run.nextAttemptAt = now + m_settings.retryDelay;
        break;
    case WorkerRequestStatus::NotSent:
        // Without an earlier start that may still be executed, the task can be placed elsewhere immediately.
        if (run.phase == TrackedRun::Phase::Sent && !run.hasUnacknowledgedStart && !run.callsInFlight)
            return finish(run, RunOutcome::NeverStarted, {}, now);
        run.nextAttemptAt = now + m_settings.retryDelay;
        break;
    case WorkerRequestStatus::Fenced:
        run.nextAttemptAt = now + m_settings.retryDelay;
        break;
    case WorkerRequestStatus::Unhealthy:
        if (TrackedWorker* worker = m_workerTracker.find(request.incarnation))
            backOff(*worker, now);
        [[fallthrough]];
    case WorkerRequestStatus::LeaseExpired:
    case WorkerRequestStatus::NoCapacity:
    case WorkerRequestStatus::NoPermission:
    case WorkerRequestStatus::WrongIncarnation:
    case WorkerRequestStatus::Invalid:
        if (run.phase == TrackedRun::Phase::Sent)
            onStartRejected(run, now);
        break;
    }
}

void RunController::onStopResponse(
    const StopRunRequest& request, const RunResponse& response, TimePoint sentAt, TimePoint now)
{
    const MessageSender sender = onRunResponse(request.incarnation, response, sentAt, now);
    const bool isConfirmed = sender != MessageSender::Other
        && (response.status == WorkerRequestStatus::Done || response.status == WorkerRequestStatus::Outdated);
    const auto orphan = m_orphans.find(request.run);
    if (orphan != m_orphans.end() && orphan->second.incarnation == request.incarnation) {
        orphan->second.isInFlight = false;
        orphan->second.nextAttemptAt = now + m_settings.retryDelay;
        orphan->second.isConfirmed = orphan->second.isConfirmed || isConfirmed;
    }
    const auto found = m_runs.find(request.run);
    if (found == m_runs.end() || found->second.incarnation != request.incarnation)
        return;
    TrackedRun& run = found->second;
    run.callsInFlight -= run.callsInFlight ? 1 : 0;
    run.nextAttemptAt = now + m_settings.retryDelay;
    if (!isConfirmed || run.phase != TrackedRun::Phase::Stopping)
        return;
    run.phase = TrackedRun::Phase::Stopped;
    run.confirmedAt = now;
    m_unsettledRuns.erase(run.run);
}

void RunController::onPollResponse(
    const PollRequest& request, const Expected<PollResponse>& response, TimePoint sentAt, TimePoint now)
{
    TrackedWorker* worker = m_workerTracker.find(request.incarnation);
    if (!worker)
        return;
    worker->pollsInFlight -= worker->pollsInFlight ? 1 : 0;
    const bool isOverdue = worker->pollOverdueAt && now >= *worker->pollOverdueAt;
    const bool isLatest = !request.isProbe && sentAt >= worker->pollSentAt;
    // The response to a probe shows that an overdue poll is lost.
    if (isLatest || (request.isProbe && response && isOverdue))
        worker->pollOverdueAt.reset();
    if (request.isProbe)
        worker->probeOverdueAt.reset();
    const bool isNamed = response && response->startTimeMs;
    const bool isNamedOther = isNamed && *response->startTimeMs != request.incarnation.startTimeMs;
    const bool isOther = isNamedOther
        || (response && !isNamed && worker->lifetime.senderOf(response->clock, sentAt, now) == MessageSender::Other);
    if (!response || isOther) {
        // Further polls would confirm end numbers of this incarnation to the other one, which would then drop its own
        // ends.
        if (isNamedOther)
            m_workerTracker.markSuperseded(request.incarnation, *response->startTimeMs, now);
        // A poll that a leader in doubt has held back says nothing about its worker.
        if (!response && response.error().code == ErrorCode::Conflict)
            m_workerTracker.markReplacedAtAddress(request.incarnation);
        else if (!response && response.error().code != ErrorCode::NotLeader)
            onCallFailure(*worker, sentAt, now);
        worker->nextPollAt = std::max(now + m_settings.retryDelay, worker->backoffEnd);
        return;
    }
    onWorkerContact(*worker, now);
    if (request.maxWait == Duration(0))
        onResponseTime(now - sentAt, now);
    worker->lifetime.addResponse(response->clock, sentAt, now);
    m_workerTracker.onResponded(*worker);
    worker->hasConfirmedFence = true;
    // The worker responded after it announced its shutdown, so it is still running.
    if (worker->leavingSince && sentAt > *worker->leavingSince)
        worker->leavingSince = now;
    worker->lastConfirmedEnd = std::max(worker->lastConfirmedEnd, request.lastRecordedEnd);
    worker->hasMoreEnds = response->hasMoreEnds;
    handleReportedRuns(*worker, *response, sentAt, now);
    worker->nextPollAt = now;
}

void RunController::handleReportedRuns(
    TrackedWorker& worker, const PollResponse& response, TimePoint sentAt, TimePoint now)
{
    std::set<RunRef> reported;
    for (const auto& item : response.running) {
        reported.insert(item.run);
        const auto found = m_runs.find(item.run);
        if (found == m_runs.end() || found->second.incarnation != worker.incarnation()) {
            // The recorded state has no such run on this incarnation.
            m_orphans.try_emplace(item.run, OrphanRun { .incarnation = worker.incarnation(), .nextAttemptAt = now });
            continue;
        }
        TrackedRun& run = found->second;
        run.unattributedSince.reset();
        run.outcomeOfLostWorker.reset();
        confirm(run, now);
        if (run.percent != item.percent)
            run.lastProgressAt = now;
        run.percent = item.percent;
        run.checkpoint = item.checkpoint;
    }
    for (const auto& item : response.ended) {
        reported.insert(item.run);
        if (item.number <= worker.lastReceivedEnd)
            continue;
        worker.lastReceivedEnd = item.number;
        const auto found = m_runs.find(item.run);
        // A later incarnation may have executed the start.
        if (found != m_runs.end() && found->second.incarnation.worker == worker.incarnation().worker)
            finish(found->second, item.outcome, item.checkpoint, now);
    }
    // A run that is not listed may be among the ends that the worker holds back.
    if (response.hasMoreEnds)
        return;
    evaluateUnreportedRuns(worker, reported, sentAt, now);
    worker.hasInheritedRuns = worker.hasMovedRuns = false;
    std::erase_if(m_orphans, [&](const auto& orphan) {
        return orphan.second.incarnation == worker.incarnation() && orphan.second.isConfirmed
            && !reported.contains(orphan.first);
    });
}

// Evaluates runs that the worker lists neither as running nor as ended; its lists must be complete.
void RunController::evaluateUnreportedRuns(
    TrackedWorker& worker, const std::set<RunRef>& reported, TimePoint sentAt, TimePoint now)
{
    const auto entry = m_runsByIncarnation.find(worker.incarnation());
    if (entry == m_runsByIncarnation.end())
        return;
    for (const auto& [ref, tracked] : entry->second) {
        TrackedRun& run = *tracked;
        if (reported.contains(ref) || !run.maySend())
            continue;
        // This poll raised the fence, so starts of earlier leaders are rejected from now on.
        if (run.isInherited)
            finish(run, RunOutcome::NeverStarted, {}, now);
        else if (run.confirmedAt && *run.confirmedAt < sentAt)
            finish(run, run.phase == TrackedRun::Phase::Stopped ? RunOutcome::NeverStarted : RunOutcome::Lost, {}, now);
    }
}

} // namespace hickoryknot::workflow
