#include "routing/Router.h"

#include <algorithm>
#include <utility>

#include "routing/RouterCore.h"
#include "routing/SentenceText.h"

namespace hickoryknot {

struct Router::Impl : RouterCore {
    using RouterCore::RouterCore;
};

Router::Router(RouterSettings settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Router::~Router() = default;

void Router::setTable(const std::vector<Row>& table, uint64_t tableVersion, TimePoint now, RouterActions& actions)
{
    m_impl->rows.setTable(table);
    m_impl->servingRule.tableVersion = tableVersion;
    m_impl->dropUnservedRows(now, actions);
    m_impl->dispatch(now, actions);
}

void Router::setServers(const std::vector<TrackedServer>& views, TimePoint now, RouterActions& actions)
{
    m_impl->pool.setServers(views);
    m_impl->dispatch(now, actions);
}

void Router::setShares(
    const std::vector<ServerShare>& shares, TimePoint leasedUntil, TimePoint now, RouterActions& actions)
{
    m_impl->pool.setShares(shares, leasedUntil);
    m_impl->dispatch(now, actions);
}

void Router::setForwardTargets(std::vector<ForwardTarget> targets) { m_impl->forwardTargets = std::move(targets); }

void Router::setHostRank(uint32_t rank, uint32_t hosts) { m_impl->rows.setHostRank(rank, hosts); }

void Router::setTableLease(const TableLeaseInfo& rule, TimePoint now, RouterActions& actions)
{
    m_impl->servingRule = rule;
    m_impl->isRuleSwept = now >= rule.expiry;
    m_impl->dropUnservedRows(now, actions);
}

void Router::startDraining() { m_impl->isDraining = true; }

RequestHandle Router::submit(RequestSubmission submission, SubmitOrigin origin, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    ++impl.counts.submitted;
    ++impl.answersOwed;
    const auto row = impl.rows.find(submission.row);
    const Duration asked = submission.deadline > 0us ? submission.deadline : impl.settings.defaultDeadline;

    RoutedRequest& request = impl.requests.add();
    const RequestHandle ticket = request.ticket;
    request.submission = std::make_shared<const RequestSubmission>(std::move(submission));
    request.state = RequestState::BackingOff;
    request.isFromPeer = origin == SubmitOrigin::Peer;
    request.submittedAt = now;
    request.deadline = now + std::min(asked, impl.settings.maxDeadline);
    if (!row) {
        impl.answer(request,
            { OutcomeKind::Refused, "unknown_row",
                "the table has no class row " + quoted(request.submission->row.value()) + " (version "
                    + std::to_string(impl.servingRule.tableVersion) + ")",
                {} },
            now, actions);
        impl.requests.remove(request);
        return ticket;
    }

    const Row& settings = impl.rows[*row].row;
    ++impl.rows[*row].requests;
    request.row = *row;
    request.isRepeatable = request.submission->repeatable.value_or(settings.isRepeatable);
    request.waitUntil = now + settings.waitBound;
    impl.timers.clearEnded(
        impl.requests.size(), [&](RequestHandle timed) { return impl.requests.find(timed) != nullptr; });
    impl.timers.add(
        { .at = std::min(request.waitUntil, request.deadline), .ticket = ticket, .kind = TimerKind::Bound });
    impl.admit(request, now, actions);
    return ticket;
}

void Router::onServerResponse(
    RequestHandle ticket, uint32_t attempt, std::string body, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    RoutedRequest* request = impl.findRunning(ticket, attempt);
    if (!request)
        return;
    impl.rowOf(*request).serviceTime.observe(now - request->sentAt, now);
    impl.releaseSlot(*request, SendResult::Answered, now);
    request->state = RequestState::BackingOff;
    if (request->isAnswered) {
        ++impl.counts.lateResponsesDropped;
        impl.remove(*request);
    } else {
        impl.finish(*request, { OutcomeKind::Done, "ok", "", std::move(body) }, now, actions);
    }
    impl.dispatch(now, actions);
}

void Router::onServerRejection(RequestHandle ticket, uint32_t attempt, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    RoutedRequest* request = impl.findRunning(ticket, attempt);
    if (!request)
        return;
    impl.releaseSlot(*request, SendResult::Refused, now);
    if (request->isAnswered)
        impl.remove(*request);
    else
        impl.retryOrGiveUp(*request, now, actions);
    impl.dispatch(now, actions);
}

void Router::onSendFailure(RequestHandle ticket, uint32_t attempt, bool wasSent, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    RoutedRequest* request = impl.findRunning(ticket, attempt);
    if (!request)
        return;
    impl.releaseSlot(*request, impl.failureOf(*request), now);
    request->mayHaveRun = request->mayHaveRun || wasSent;
    if (request->isAnswered)
        impl.remove(*request);
    else
        impl.retryOrGiveUp(*request, now, actions);
    impl.dispatch(now, actions);
}

void Router::onStartRecordResult(
    RequestHandle ticket, StartRecordResult verdict, Outcome recorded, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    RoutedRequest* request = impl.requests.find(ticket);
    if (!request || request->state != RequestState::RecordingStart)
        return;
    if (request->isAnswered) {
        // Answered at the deadline without a send: the record needs the outcome, so that a resend finds it.
        if (verdict == StartRecordResult::Granted)
            actions.emplace_back(RecordOutcome {
                .handle = ticket, .request = request->submission, .outcome = request->outcome, .isAwaited = false });
        impl.remove(*request);
        return;
    }

    if (verdict == StartRecordResult::Granted) {
        request->isIntentGranted = true;
        const Row& row = impl.rowOf(*request).row;
        const bool mayServe = impl.servesRow(row, now);
        if (mayServe && now < request->deadline && impl.pool.mayStillUse(request->server, now)) {
            impl.send(*request, now, actions);
            return;
        }
        // The server left or the share shrank meanwhile.
        impl.releaseSlot(*request, SendResult::Neutral, now);
        request->state = RequestState::BackingOff;
        if (mayServe)
            impl.enqueue(*request, true);
        else
            impl.giveUp(*request, "cut_off", impl.cutOffSentence(row), now, actions);
        impl.dispatch(now, actions);
        return;
    }

    impl.releaseSlot(*request, SendResult::Neutral, now);
    request->state = RequestState::BackingOff;
    if (verdict == StartRecordResult::Duplicate)
        impl.finish(*request, std::move(recorded), now, actions);
    else
        impl.giveUp(*request, "home_unreachable",
            "the home of this request id could not record the start, so it was not sent to any server", now, actions);
    impl.dispatch(now, actions);
}

void Router::onOutcomeRecordFinished(RequestHandle ticket, TimePoint now, RouterActions& actions)
{
    RoutedRequest* request = m_impl->requests.find(ticket);
    if (!request || request->state != RequestState::RecordingOutcome)
        return;
    if (!request->isAnswered)
        m_impl->answer(*request, std::move(request->outcome), now, actions);
    m_impl->remove(*request);
}

void Router::onForwardResponse(RequestHandle ticket, Outcome outcome, TimePoint now, RouterActions& actions)
{
    RoutedRequest* request = m_impl->requests.find(ticket);
    if (!request || request->state != RequestState::Forwarded)
        return;
    request->state = RequestState::BackingOff;
    if (request->isAnswered) {
        ++m_impl->counts.lateResponsesDropped;
        m_impl->remove(*request);
        return;
    }
    m_impl->finish(*request, std::move(outcome), now, actions);
}

void Router::onForwardFailure(RequestHandle ticket, bool wasSent, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    RoutedRequest* request = impl.requests.find(ticket);
    if (!request || request->state != RequestState::Forwarded)
        return;
    request->state = RequestState::BackingOff;
    if (request->isAnswered) {
        impl.remove(*request);
        return;
    }
    if (wasSent) {
        request->mayHaveRun = true;
        impl.giveUp(*request, "forward_failed", "the other zone's entry host did not answer", now, actions);
        return;
    }
    impl.enqueue(*request, true);
    impl.dispatch(now, actions);
}

void Router::onCallerDisconnect(RequestHandle ticket, TimePoint now, RouterActions& actions)
{
    RoutedRequest* request = m_impl->requests.find(ticket);
    if (!request || request->isAnswered)
        return;
    request->isCallerGone = true;
    const bool isIdle = request->state == RequestState::Waiting || request->state == RequestState::BackingOff;
    if (!isIdle || request->isIntentGranted)
        return;
    if (request->mayHaveRun)
        m_impl->giveUp(*request, "caller_gone", "the caller closed its connection", now, actions);
    else
        m_impl->finish(
            *request, { OutcomeKind::Cancelled, "caller_gone", "the caller closed its connection", {} }, now, actions);
}

void Router::tick(TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    if (!impl.isRuleSwept && now >= impl.servingRule.expiry) {
        impl.isRuleSwept = true;
        impl.dropUnservedRows(now, actions);
    }
    while (const auto timer = impl.timers.popDue(now)) {
        RoutedRequest* request = impl.requests.find(timer->ticket);
        if (!request)
            continue;
        if (timer->kind == TimerKind::Bound)
            impl.boundReached(*request, now, actions);
        else if (request->state == RequestState::BackingOff && !request->isAnswered)
            impl.enqueue(*request, true);
    }
    impl.dispatch(now, actions);
}

std::optional<TimePoint> Router::nextTick() const
{
    auto next = m_impl->timers.next();
    const auto consider = [&](std::optional<TimePoint> candidate) {
        if (candidate && (!next || *candidate < *next))
            next = candidate;
    };
    if (!m_impl->isRuleSwept && m_impl->servingRule.expiry != TimePoint::max())
        consider(m_impl->servingRule.expiry);
    if (m_impl->waiting)
        consider(m_impl->pool.nextProbe());
    return next;
}

size_t Router::requestsInProgress() const { return m_impl->answersOwed; }

bool Router::isDraining() const { return m_impl->isDraining; }

uint32_t Router::demand() const { return m_impl->waiting + m_impl->pool.running(); }

std::vector<ServerUsage> Router::serverUsage() const { return m_impl->pool.uses(); }

uint32_t Router::freeSlots(TimePoint now) const { return m_impl->pool.freeSlots(now); }

std::vector<RowLoad> Router::rowLoads() const
{
    std::vector<RowLoad> loads;
    for (uint32_t i = 0; i < m_impl->rows.size(); ++i) {
        const RouterRow& row = m_impl->rows[i];
        if (row.isListed)
            loads.push_back({ row.row.name, row.queue.size(), row.running });
    }
    return loads;
}

std::vector<ServerId> Router::serversOnProbation() const { return m_impl->pool.serversOnProbation(); }

const RouterCounts& Router::counts() const { return m_impl->counts; }

} // namespace hickoryknot
