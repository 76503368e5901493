#include "routing/RouterCore.h"

#include <algorithm>
#include <utility>

#include "core/Assert.h"
#include "routing/MessageText.h"

namespace hickoryknot {

namespace {

// A send without a response counts as a failure of its server only if the deadline left at least this many mean service
// times.
constexpr int64_t minServiceTimesUntilFailure = 4;

} // namespace

void RouterCore::start(RoutedRequest& request, uint32_t server, TimePoint now, RouterActions& actions)
{
    if (pool.isOnProbation(server))
        ++counts.probes;
    request.server = server;
    pool.allocateSlot(server);
    ++rowOf(request).running;
    if (request.isRepeatable || request.isStartRecorded) {
        send(request, now, actions);
        return;
    }
    request.state = RequestState::RecordingStart;
    actions.emplace_back(RecordStart { .handle = request.handle,
        .server = pool.tracked(server).server,
        .request = request.submission,
        .deadline = request.deadline });
}

void RouterCore::send(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    HICKORYKNOT_ASSERT(request.isRepeatable || (request.isStartRecorded && !request.mayHaveRun),
        "a request that is not repeatable is sent only while it surely has not run");
    request.state = RequestState::Running;
    request.sentAt = now;
    if (!request.attempt) {
        request.waited = now - request.submittedAt;
        rowOf(request).budget.recordFirstAttempt();
    } else {
        ++counts.retries;
    }
    request.tried[request.attempt++] = request.server;
    ++counts.sends;
    const TrackedServer& tracked = pool.tracked(request.server);
    actions.emplace_back(SendToServer { .handle = request.handle,
        .attempt = request.attempt,
        .server = tracked.server,
        .address = tracked.address,
        .port = tracked.port,
        .request = request.submission,
        .deadline = request.deadline,
        .waited = request.waited });
}

void RouterCore::releaseSlot(RoutedRequest& request, SendResult result, TimePoint now)
{
    pool.releaseSlot(request.server, result, now);
    --rowOf(request).running;
}

SendResult RouterCore::classifyFailure(const RoutedRequest& request) const
{
    // A short deadline of the caller says nothing about the health of the server.
    const Duration serviceTime = rows[request.row].serviceTime.meanOrDefault();
    const bool wasDeadlineTooShort
        = request.isResponseSent && request.deadline - request.sentAt < serviceTime * minServiceTimesUntilFailure;
    return wasDeadlineTooShort ? SendResult::Neutral : SendResult::Failed;
}

void RouterCore::retryOrFinish(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    // The slot has been released.
    request.state = RequestState::Idle;
    RouterRow& row = rowOf(request);
    const Duration backoff = settings.retryBackoff * (1 << (request.attempt - 1));
    const Duration jittered = backoff / 2 + Duration(random(static_cast<uint32_t>(backoff.count()) + 1));
    const bool mayRepeat = request.isRepeatable ? !request.isCallerDisconnected : !request.mayHaveRun;
    if (!mayRepeat || request.attempt >= settings.maxAttempts || now + jittered >= request.deadline || !row.isListed
        || !mayServeRow(row.row, now)) {
        finishWithoutResponse(request, "server_failed",
            request.mayHaveRun ? "the server failed or did not answer while the request may have been running"
                               : "no server started the request in " + std::to_string(request.attempt) + " sends",
            now, actions);
        return;
    }
    if (settings.usesRetryBudget && !row.budget.tryConsume()) {
        ++counts.retriesDenied;
        finishWithoutResponse(request, "server_failed",
            "the server failed; row " + quoted(row.row.name.value()) + " has used up its retryBudgetPercent "
                + std::to_string(row.row.retryBudgetPercent),
            now, actions);
        return;
    }
    timers.add({ .at = now + jittered, .handle = request.handle, .kind = TimerKind::Retry });
}

bool RouterCore::tryForward(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    // Once the start is recorded for this host, another host cannot record it again.
    if (now >= request.deadline || request.isFromPeer || request.wasForwarded || request.isStartRecorded
        || request.attempt || isDraining)
        return false;
    const auto target
        = std::ranges::find_if(forwardTargets, [](const ForwardTarget& candidate) { return candidate.freeSlots; });
    if (target == forwardTargets.end())
        return false;
    --target->freeSlots;
    ++counts.forwarded;
    request.wasForwarded = true;
    request.state = RequestState::Forwarded;
    actions.emplace_back(ForwardToZone {
        .handle = request.handle, .zone = target->zone, .request = request.submission, .deadline = request.deadline });
    return true;
}

void RouterCore::onTimeLimit(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    if (request.isResponseSent)
        return;
    if (now >= request.deadline) {
        onDeadline(request, now, actions);
        return;
    }
    const bool isFirstWait = request.state == RequestState::Waiting && !request.attempt && !request.isStartRecorded;
    if (isFirstWait && now >= request.waitDeadline) {
        onWaitBoundEnd(request, now, actions);
        return;
    }
    timers.add({ .at = isFirstWait ? std::min(request.waitDeadline, request.deadline) : request.deadline,
        .handle = request.handle,
        .kind = TimerKind::TimeLimit });
}

void RouterCore::onWaitBoundEnd(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    const Row& row = rowOf(request).row;
    if (pool.totalSlots(now)) {
        finishWithoutResponse(request, "wait_bound",
            "row " + quoted(row.name.value()) + ": no slot was free within waitBoundMs " + formatMillis(row.waitBound),
            now, actions);
        return;
    }
    finishWithoutResponse(request, "no_server",
        "no server of this zone was usable within waitBoundMs " + formatMillis(row.waitBound) + " of row "
            + quoted(row.name.value()),
        now, actions);
}

void RouterCore::onDeadline(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    switch (request.state) {
    case RequestState::Waiting:
    case RequestState::Idle:
        finishWithoutResponse(request, "deadline", "the deadline passed before a slot was free", now, actions);
        return;
    case RequestState::RecordingStart:
        // The start may still be recorded; onStartRecordResult() then records the outcome that is returned here.
        releaseSlot(request, SendResult::Neutral, now);
        request.outcome = { OutcomeKind::NotRun, "deadline", "the deadline passed before the start was recorded", {} };
        respond(request, outcomeWithoutResponse(request, "deadline", request.outcome.message), now, actions);
        dispatch(now, actions);
        return;
    case RequestState::Running:
    case RequestState::Forwarded: {
        request.mayHaveRun = true;
        Outcome outcome = outcomeWithoutResponse(
            request, "deadline", "the deadline passed while the request may have been running");
        if (!request.isRepeatable && request.isStartRecorded)
            actions.emplace_back(RecordOutcome {
                .handle = request.handle, .request = request.submission, .outcome = outcome, .isAwaited = false });
        respond(request, std::move(outcome), now, actions);
        return;
    }
    case RequestState::RecordingOutcome:
        // The outcome is final; only its record is late.
        respond(request, request.outcome, now, actions);
        return;
    }
}

// Completion.

Outcome RouterCore::outcomeWithoutResponse(const RoutedRequest& request, const char* reason, std::string message) const
{
    if (request.mayHaveRun)
        return { OutcomeKind::Unknown, reason, std::move(message), {} };
    if (request.submission->attempt > 1 && !request.isStartRecorded)
        return { OutcomeKind::Unknown, reason,
            std::move(message) + "; this resend did not run, but an earlier one may have", {} };
    return { OutcomeKind::NotRun, reason, std::move(message), {} };
}

void RouterCore::finishWithoutResponse(
    RoutedRequest& request, const char* reason, std::string message, TimePoint now, RouterActions& actions)
{
    finish(request, outcomeWithoutResponse(request, reason, std::move(message)), now, actions);
}

// Ends a request without an allocated slot.
void RouterCore::finish(RoutedRequest& request, Outcome outcome, TimePoint now, RouterActions& actions)
{
    if (request.isInQueue()) {
        // The queue keeps a stale entry, which pop() skips.
        request.state = RequestState::Idle;
        rowOf(request).queue.decrementSize();
        --waiting;
    }
    if (request.isRepeatable || !request.isStartRecorded) {
        respond(request, std::move(outcome), now, actions);
        remove(request);
        return;
    }
    // A resend must find this outcome, so it is recorded before the response. Past the deadline the response does not
    // wait for the record.
    const bool isAwaited = now < request.deadline;
    actions.emplace_back(RecordOutcome {
        .handle = request.handle, .request = request.submission, .outcome = outcome, .isAwaited = isAwaited });
    if (!isAwaited) {
        respond(request, std::move(outcome), now, actions);
        remove(request);
        return;
    }
    request.state = RequestState::RecordingOutcome;
    request.outcome = std::move(outcome);
}

void RouterCore::respond(RoutedRequest& request, Outcome outcome, TimePoint now, RouterActions& actions)
{
    HICKORYKNOT_ASSERT(!request.isResponseSent, "each request gets one response");
    request.isResponseSent = true;
    --pendingResponses;
    switch (outcome.kind) {
    case OutcomeKind::Done:
    case OutcomeKind::Accepted:
        ++counts.done;
        break;
    case OutcomeKind::NotRun:
        ++counts.notRun;
        break;
    case OutcomeKind::Refused:
        ++counts.refused;
        break;
    case OutcomeKind::Cancelled:
        ++counts.cancelled;
        break;
    case OutcomeKind::Unknown:
        ++counts.unknown;
        break;
    }
    actions.emplace_back(RespondToCaller { .handle = request.handle,
        .outcome = std::move(outcome),
        .row = request.submission->row,
        .waited = request.attempt ? request.waited : now - request.submittedAt,
        .total = now - request.submittedAt,
        .hasStarted = request.attempt > 0 });
}

void RouterCore::remove(RoutedRequest& request)
{
    --rowOf(request).requests;
    requests.remove(request);
}

RoutedRequest* RouterCore::findRunning(RequestHandle handle, uint32_t attempt)
{
    RoutedRequest* request = requests.find(handle);
    if (request && request->state == RequestState::Running && request->attempt == attempt)
        return request;
    ++counts.lateResponsesDropped;
    return nullptr;
}

} // namespace hickoryknot
