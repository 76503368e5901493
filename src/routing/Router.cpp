#include "routing/Router.h"

#include <algorithm>
#include <utility>

#include "routing/MessageText.h"
#include "routing/RouterCore.h"

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
    m_impl->tableLease.tableVersion = tableVersion;
    m_impl->endUnservedRows(now, actions);
    m_impl->dispatch(now, actions);
}

void Router::setServers(const std::vector<TrackedServer>& trackedServers, TimePoint now, RouterActions& actions)
{
    m_impl->pool.setServers(trackedServers);
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

void Router::setTableLease(const TableLeaseInfo& lease, TimePoint now, RouterActions& actions)
{
    m_impl->tableLease = lease;
    m_impl->isExpiryHandled = now >= lease.expiry;
    m_impl->endUnservedRows(now, actions);
}

void Router::startDraining() { m_impl->isDraining = true; }

RequestHandle Router::submit(RequestSubmission submission, SubmitOrigin origin, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    ++impl.counts.submitted;
    ++impl.pendingResponses;
    const auto row = impl.rows.find(submission.row);
    const Duration requestedDeadline = submission.deadline > 0us ? submission.deadline : impl.settings.defaultDeadline;

    RoutedRequest& request = impl.requests.add();
    const RequestHandle handle = request.handle;
    request.submission = std::make_shared<const RequestSubmission>(std::move(submission));
    request.state = RequestState::Idle;
    request.isFromPeer = origin == SubmitOrigin::Peer;
    request.submittedAt = now;
    request.deadline = now + std::min(requestedDeadline, impl.settings.maxDeadline);
    if (!row) {
        impl.respond(request,
            { OutcomeKind::Refused, "unknown_row",
                "the table has no class row " + quoted(request.submission->row.value()) + " (version "
                    + std::to_string(impl.tableLease.tableVersion) + ")",
                {} },
            now, actions);
        impl.requests.remove(request);
        return handle;
    }

    const Row& settings = impl.rows[*row].row;
    ++impl.rows[*row].requests;
    request.row = *row;
    request.isRepeatable = request.submission->repeatable.value_or(settings.isRepeatable);
    request.waitDeadline = now + settings.waitBound;
    impl.timers.removeStaleTimers(
        impl.requests.size(), [&](RequestHandle timerHandle) { return impl.requests.find(timerHandle) != nullptr; });
    impl.timers.add(
        { .at = std::min(request.waitDeadline, request.deadline), .handle = handle, .kind = TimerKind::TimeLimit });
    impl.admit(request, now, actions);
    return handle;
}

void Router::onServerResponse(
    RequestHandle handle, uint32_t attempt, std::string body, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    RoutedRequest* request = impl.findRunning(handle, attempt);
    if (!request)
        return;
    impl.rowOf(*request).serviceTime.observe(now - request->sentAt, now);
    impl.releaseSlot(*request, SendResult::Succeeded, now);
    request->state = RequestState::Idle;
    if (request->isResponseSent) {
        ++impl.counts.lateResponsesDropped;
        impl.remove(*request);
    } else {
        impl.finish(*request, { OutcomeKind::Done, "ok", "", std::move(body) }, now, actions);
    }
    impl.dispatch(now, actions);
}

void Router::onServerRejection(RequestHandle handle, uint32_t attempt, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    RoutedRequest* request = impl.findRunning(handle, attempt);
    if (!request)
        return;
    impl.releaseSlot(*request, SendResult::Rejected, now);
    if (request->isResponseSent)
        impl.remove(*request);
    else
        impl.retryOrFinish(*request, now, actions);
    impl.dispatch(now, actions);
}

void Router::onSendFailure(RequestHandle handle, uint32_t attempt, bool wasSent, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    RoutedRequest* request = impl.findRunning(handle, attempt);
    if (!request)
        return;
    impl.releaseSlot(*request, impl.classifyFailure(*request), now);
    request->mayHaveRun = request->mayHaveRun || wasSent;
    if (request->isResponseSent)
        impl.remove(*request);
    else
        impl.retryOrFinish(*request, now, actions);
    impl.dispatch(now, actions);
}

void Router::onStartRecordResult(
    RequestHandle handle, StartRecordResult result, Outcome recorded, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    RoutedRequest* request = impl.requests.find(handle);
    if (!request || request->state != RequestState::RecordingStart)
        return;
    if (request->isResponseSent) {
        // The deadline passed before a send. The outcome is recorded, so that a resend of the request finds it.
        if (result == StartRecordResult::Granted)
            actions.emplace_back(RecordOutcome {
                .handle = handle, .request = request->submission, .outcome = request->outcome, .isAwaited = false });
        impl.remove(*request);
        return;
    }

    if (result == StartRecordResult::Granted) {
        request->isStartRecorded = true;
        const Row& row = impl.rowOf(*request).row;
        const bool mayServe = impl.mayServeRow(row, now);
        if (mayServe && now < request->deadline && impl.pool.isWithinShare(request->server, now)) {
            impl.send(*request, now, actions);
            return;
        }
        // The server left or the share shrank while the start was being recorded.
        impl.releaseSlot(*request, SendResult::Neutral, now);
        request->state = RequestState::Idle;
        if (mayServe)
            impl.enqueue(*request, true);
        else
            impl.finishWithoutResponse(*request, "cut_off", impl.cutOffMessage(row), now, actions);
        impl.dispatch(now, actions);
        return;
    }

    impl.releaseSlot(*request, SendResult::Neutral, now);
    request->state = RequestState::Idle;
    if (result == StartRecordResult::Duplicate)
        impl.finish(*request, std::move(recorded), now, actions);
    else
        impl.finishWithoutResponse(*request, "home_unreachable",
            "the home of this request id could not record the start, so it was not sent to any server", now, actions);
    impl.dispatch(now, actions);
}

void Router::onOutcomeRecordFinished(RequestHandle handle, TimePoint now, RouterActions& actions)
{
    RoutedRequest* request = m_impl->requests.find(handle);
    if (!request || request->state != RequestState::RecordingOutcome)
        return;
    if (!request->isResponseSent)
        m_impl->respond(*request, std::move(request->outcome), now, actions);
    m_impl->remove(*request);
}

void Router::onForwardResponse(RequestHandle handle, Outcome outcome, TimePoint now, RouterActions& actions)
{
    RoutedRequest* request = m_impl->requests.find(handle);
    if (!request || request->state != RequestState::Forwarded)
        return;
    request->state = RequestState::Idle;
    if (request->isResponseSent) {
        ++m_impl->counts.lateResponsesDropped;
        m_impl->remove(*request);
        return;
    }
    m_impl->finish(*request, std::move(outcome), now, actions);
}

void Router::onForwardFailure(RequestHandle handle, bool wasSent, TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    RoutedRequest* request = impl.requests.find(handle);
    if (!request || request->state != RequestState::Forwarded)
        return;
    request->state = RequestState::Idle;
    if (request->isResponseSent) {
        impl.remove(*request);
        return;
    }
    if (wasSent) {
        request->mayHaveRun = true;
        impl.finishWithoutResponse(
            *request, "forward_failed", "the other zone's entry host did not answer", now, actions);
        return;
    }
    impl.enqueue(*request, true);
    impl.dispatch(now, actions);
}

void Router::onCallerDisconnect(RequestHandle handle, TimePoint now, RouterActions& actions)
{
    RoutedRequest* request = m_impl->requests.find(handle);
    if (!request || request->isResponseSent)
        return;
    request->isCallerDisconnected = true;
    const bool isIdle = request->state == RequestState::Waiting || request->state == RequestState::Idle;
    if (!isIdle || request->isStartRecorded)
        return;
    if (request->mayHaveRun)
        m_impl->finishWithoutResponse(*request, "caller_gone", "the caller closed its connection", now, actions);
    else
        m_impl->finish(
            *request, { OutcomeKind::Cancelled, "caller_gone", "the caller closed its connection", {} }, now, actions);
}

void Router::tick(TimePoint now, RouterActions& actions)
{
    Impl& impl = *m_impl;
    if (!impl.isExpiryHandled && now >= impl.tableLease.expiry) {
        impl.isExpiryHandled = true;
        impl.endUnservedRows(now, actions);
    }
    while (const auto timer = impl.timers.popExpired(now)) {
        RoutedRequest* request = impl.requests.find(timer->handle);
        if (!request)
            continue;
        if (timer->kind == TimerKind::TimeLimit)
            impl.onTimeLimit(*request, now, actions);
        else if (request->state == RequestState::Idle && !request->isResponseSent)
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
    if (!m_impl->isExpiryHandled && m_impl->tableLease.expiry != TimePoint::max())
        consider(m_impl->tableLease.expiry);
    if (m_impl->waiting)
        consider(m_impl->pool.nextProbe());
    return next;
}

size_t Router::requestsInProgress() const { return m_impl->pendingResponses; }

bool Router::isDraining() const { return m_impl->isDraining; }

uint32_t Router::demand() const { return m_impl->waiting + m_impl->pool.running(); }

std::vector<ServerUsage> Router::serverUsage() const { return m_impl->pool.usage(); }

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
