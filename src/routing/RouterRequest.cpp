#include "routing/RouterCore.h"

#include <algorithm>
#include <utility>

#include "core/Assert.h"
#include "routing/SentenceText.h"

namespace hickoryknot {

namespace {

// An unanswered send counts against its server only if the deadline left this many usual service times.
constexpr int64_t patientDeadline = 4;

} // namespace

void RouterCore::start(RoutedRequest& request, uint32_t server, TimePoint now, RouterActions& actions)
{
    if (pool.isOnProbation(server))
        ++counts.probes;
    request.server = server;
    pool.started(server);
    ++rowOf(request).running;
    if (request.isRepeatable || request.isIntentGranted) {
        send(request, now, actions);
        return;
    }
    request.state = RequestState::RecordingStart;
    actions.emplace_back(RecordStart { .handle = request.ticket,
        .server = pool.view(server).server,
        .request = request.submission,
        .deadline = request.deadline });
}

void RouterCore::send(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    HICKORYKNOT_ASSERT(request.isRepeatable || (request.isIntentGranted && !request.mayHaveRun),
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
    const TrackedServer& view = pool.view(request.server);
    actions.emplace_back(SendToServer { .handle = request.ticket,
        .attempt = request.attempt,
        .server = view.server,
        .address = view.address,
        .port = view.port,
        .request = request.submission,
        .deadline = request.deadline,
        .waited = request.waited });
}

void RouterCore::releaseSlot(RoutedRequest& request, SendResult result, TimePoint now)
{
    pool.ended(request.server, result, now);
    --rowOf(request).running;
}

SendResult RouterCore::failureOf(const RoutedRequest& request) const
{
    // A caller with little patience says nothing about the server.
    const Duration usual = rows[request.row].serviceTime.meanOrDefault();
    const bool wasCutShort = request.isAnswered && request.deadline - request.sentAt < usual * patientDeadline;
    return wasCutShort ? SendResult::Neutral : SendResult::Failed;
}

void RouterCore::retryOrGiveUp(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    // From here on the request holds no slot.
    request.state = RequestState::BackingOff;
    RouterRow& row = rowOf(request);
    const Duration backoff = settings.retryBackoff * (1 << (request.attempt - 1));
    const Duration jittered = backoff / 2 + Duration(random(static_cast<uint32_t>(backoff.count()) + 1));
    const bool mayRepeat = request.isRepeatable ? !request.isCallerGone : !request.mayHaveRun;
    if (!mayRepeat || request.attempt >= settings.maxAttempts || now + jittered >= request.deadline || !row.isListed
        || !servesRow(row.row, now)) {
        giveUp(request, "server_failed",
            request.mayHaveRun ? "the server failed or did not answer while the request may have been running"
                               : "no server started the request in " + std::to_string(request.attempt) + " sends",
            now, actions);
        return;
    }
    if (settings.usesRetryBudget && !row.budget.tryTake()) {
        ++counts.retriesDenied;
        giveUp(request, "server_failed",
            "the server failed; row " + quoted(row.row.name.value()) + " has used up its retryBudgetPercent "
                + std::to_string(row.row.retryBudgetPercent),
            now, actions);
        return;
    }
    timers.add({ .at = now + jittered, .ticket = request.ticket, .kind = TimerKind::Retry });
}

bool RouterCore::tryForward(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    // Once its start is recorded for this host, another host could not record it again.
    if (now >= request.deadline || request.isFromPeer || request.wasForwarded || request.isIntentGranted
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
        .handle = request.ticket, .zone = target->zone, .request = request.submission, .deadline = request.deadline });
    return true;
}

void RouterCore::boundReached(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    if (request.isAnswered)
        return;
    if (now >= request.deadline) {
        deadlineReached(request, now, actions);
        return;
    }
    const bool isFirstWait = request.state == RequestState::Waiting && !request.attempt && !request.isIntentGranted;
    if (isFirstWait && now >= request.waitUntil) {
        waitBoundReached(request, now, actions);
        return;
    }
    timers.add({ .at = isFirstWait ? std::min(request.waitUntil, request.deadline) : request.deadline,
        .ticket = request.ticket,
        .kind = TimerKind::Bound });
}

void RouterCore::waitBoundReached(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    const Row& row = rowOf(request).row;
    if (pool.totalSlots(now)) {
        giveUp(request, "wait_bound",
            "row " + quoted(row.name.value()) + ": no slot was free within waitBoundMs " + millis(row.waitBound), now,
            actions);
        return;
    }
    giveUp(request, "no_server",
        "no server of this zone was usable within waitBoundMs " + millis(row.waitBound) + " of row "
            + quoted(row.name.value()),
        now, actions);
}

void RouterCore::deadlineReached(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    switch (request.state) {
    case RequestState::Waiting:
    case RequestState::BackingOff:
        giveUp(request, "deadline", "the deadline passed before a slot was free", now, actions);
        return;
    case RequestState::RecordingStart:
        // The record may still be made; intentRecorded() then adds the outcome that is answered here.
        releaseSlot(request, SendResult::Neutral, now);
        request.outcome = { OutcomeKind::NotRun, "deadline", "the deadline passed before the start was recorded", {} };
        answer(request, withoutAnswer(request, "deadline", request.outcome.message), now, actions);
        dispatch(now, actions);
        return;
    case RequestState::Running:
    case RequestState::Forwarded: {
        request.mayHaveRun = true;
        Outcome outcome
            = withoutAnswer(request, "deadline", "the deadline passed while the request may have been running");
        if (!request.isRepeatable && request.isIntentGranted)
            actions.emplace_back(RecordOutcome {
                .handle = request.ticket, .request = request.submission, .outcome = outcome, .isAwaited = false });
        answer(request, std::move(outcome), now, actions);
        return;
    }
    case RequestState::RecordingOutcome:
        // The answer is whole; only its record is late.
        answer(request, request.outcome, now, actions);
        return;
    }
}

// Endings.

Outcome RouterCore::withoutAnswer(const RoutedRequest& request, const char* reason, std::string sentence) const
{
    if (request.mayHaveRun)
        return { OutcomeKind::Unknown, reason, std::move(sentence), {} };
    if (request.submission->attempt > 1 && !request.isIntentGranted)
        return { OutcomeKind::Unknown, reason,
            std::move(sentence) + "; this resend did not run, but an earlier one may have", {} };
    return { OutcomeKind::NotRun, reason, std::move(sentence), {} };
}

void RouterCore::giveUp(
    RoutedRequest& request, const char* reason, std::string sentence, TimePoint now, RouterActions& actions)
{
    finish(request, withoutAnswer(request, reason, std::move(sentence)), now, actions);
}

// Ends a request that holds no slot.
void RouterCore::finish(RoutedRequest& request, Outcome outcome, TimePoint now, RouterActions& actions)
{
    if (request.isInQueue()) {
        // Counted out here; its entry in the queue is skipped later.
        request.state = RequestState::BackingOff;
        rowOf(request).queue.drop();
        --waiting;
    }
    if (request.isRepeatable || !request.isIntentGranted) {
        answer(request, std::move(outcome), now, actions);
        remove(request);
        return;
    }
    // A resend must find this outcome, so it is recorded first. Past the deadline the answer does not wait for that.
    const bool isAwaited = now < request.deadline;
    actions.emplace_back(RecordOutcome {
        .handle = request.ticket, .request = request.submission, .outcome = outcome, .isAwaited = isAwaited });
    if (!isAwaited) {
        answer(request, std::move(outcome), now, actions);
        remove(request);
        return;
    }
    request.state = RequestState::RecordingOutcome;
    request.outcome = std::move(outcome);
}

void RouterCore::answer(RoutedRequest& request, Outcome outcome, TimePoint now, RouterActions& actions)
{
    HICKORYKNOT_ASSERT(!request.isAnswered, "each request is answered once");
    request.isAnswered = true;
    --answersOwed;
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
    actions.emplace_back(RespondToCaller { .handle = request.ticket,
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

RoutedRequest* RouterCore::findRunning(RequestHandle ticket, uint32_t attempt)
{
    RoutedRequest* request = requests.find(ticket);
    if (request && request->state == RequestState::Running && request->attempt == attempt)
        return request;
    ++counts.lateResponsesDropped;
    return nullptr;
}

} // namespace hickoryknot
