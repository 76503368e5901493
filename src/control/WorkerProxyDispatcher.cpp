#include "control/WorkerProxyDispatcher.h"

#include <algorithm>

#include "app/EventLog.h"
#include "app/SteadyTime.h"
#include "control/HostMessageLinks.h"
#include "core/Hash.h"

namespace hickoryknot {

using namespace workflow;

namespace {

/// Up to this many workers, the leader calls them directly: at about 20 calls per second and worker this takes a tenth
/// of a CPU.
constexpr size_t maxDirectWorkers = 64;
/// A proxy without a heartbeat for this long gets no requests; hosts send a heartbeat every 400 ms.
constexpr Duration heartbeatTimeout = 1500ms;
/// How long a proxy is not used after requests to it timed out.
constexpr Duration failurePause = 2s;
/// A proxy that responded to other requests this recently is alive: only the timed out requests were lost.
constexpr Duration recentResponseWindow = 400ms;
/// Added to the proxy's own timeouts for calls to workers: two hops and the delay for batching responses.
constexpr Duration runRequestTimeout = 700ms;
constexpr Duration pollTimeoutMargin = 900ms;
/// A request that was queued longer than this is not sent: the process was paused meanwhile, and another host may have
/// become leader.
constexpr Duration maxQueueTime = 100ms;
constexpr Duration expiryPeriod = 50ms;

} // namespace

WorkerProxyDispatcher::WorkerProxyDispatcher(
    boost::asio::io_context& io, const HostId& self, HostMessageLinks& links, WorkerClient& direct)
    : m_self(self)
    , m_links(links)
    , m_direct(direct)
    , m_flushTimer(io, [this] { flush(); })
    , m_expiryTimer(io, [this] { expire(steadyNow()); })
{
    m_links.setHandler(HostMessageKind::WorkerResponses, [this](std::string_view bytes) { handleResponses(bytes); });
}

WorkerProxyDispatcher::~WorkerProxyDispatcher() { m_links.setHandler(HostMessageKind::WorkerResponses, nullptr); }

void WorkerProxyDispatcher::beginLeadership(uint64_t fence)
{
    endLeadership();
    m_fence = fence;
}

void WorkerProxyDispatcher::endLeadership()
{
    m_fence = 0;
    m_proxies.clear();
}

void WorkerProxyDispatcher::onProxyHeartbeat(const HostId& host, TimePoint now)
{
    if (!m_fence || host == m_self)
        return;
    const auto [found, isNew] = m_proxies.try_emplace(host);
    found->second.lastHeartbeat = now;
    if (isNew) {
        found->second.lastResponse = now;
        found->second.outbox = { .leader = m_self, .fence = m_fence };
        EventLog::write(EventLevel::Info, Event::CourierFound, "found a worker proxy", { { "host", host.value() } });
    }
}

HostId WorkerProxyDispatcher::proxyFor(const WorkerId& worker, TimePoint now) const
{
    if (m_workerCount <= maxDirectWorkers)
        return {};
    HostId best;
    uint64_t highestHash = 0;
    // Rendezvous hashing: a proxy that joins or leaves moves only its own share of the workers.
    for (const auto& [host, proxy] : m_proxies) {
        if (now - proxy.lastHeartbeat > heartbeatTimeout || now < proxy.notUsedUntil)
            continue;
        const uint64_t hash = hashBytes(worker.value() + host.value());
        if (best.isEmpty() || hash > highestHash) {
            best = host;
            highestHash = hash;
        }
    }
    return best;
}

uint64_t WorkerProxyDispatcher::enqueue(
    Proxy& proxy, Duration timeout, RequestCompletion runCompletion, PollCompletion pollCompletion)
{
    const TimePoint now = steadyNow();
    const uint64_t requestId = m_nextRequestId++;
    proxy.pending.emplace(requestId,
        Pending { .queuedAt = now,
            .deadline = now + timeout,
            .runCompletion = std::move(runCompletion),
            .pollCompletion = std::move(pollCompletion) });
    // Requests from one turn of the event loop share a message.
    m_flushTimer.schedule(Duration(0));
    m_expiryTimer.schedule(expiryPeriod);
    return requestId;
}

void WorkerProxyDispatcher::start(const StartRunRequest& request, RequestCompletion completion)
{
    const HostId host = proxyFor(request.incarnation.worker, steadyNow());
    if (host.isEmpty())
        return m_direct.start(request, std::move(completion));
    Proxy& proxy = m_proxies.at(host);
    WorkerRequestBatch::Start entry { .requestId = enqueue(proxy, runRequestTimeout, std::move(completion), nullptr),
        .request = request };
    // Starts of one step are adjacent, so comparing with the last command suffices.
    auto& commands = proxy.outbox.commands;
    if (commands.empty() || commands.back() != request.command)
        commands.push_back(request.command);
    entry.commandIndex = static_cast<uint32_t>(commands.size() - 1);
    proxy.outbox.starts.push_back(std::move(entry));
}

void WorkerProxyDispatcher::stop(const StopRunRequest& request, RequestCompletion completion)
{
    const HostId host = proxyFor(request.incarnation.worker, steadyNow());
    if (host.isEmpty())
        return m_direct.stop(request, std::move(completion));
    Proxy& proxy = m_proxies.at(host);
    proxy.outbox.stops.push_back({ enqueue(proxy, runRequestTimeout, std::move(completion), nullptr), request });
}

void WorkerProxyDispatcher::poll(const PollRequest& request, PollCompletion completion)
{
    const HostId host = proxyFor(request.incarnation.worker, steadyNow());
    if (host.isEmpty())
        return m_direct.poll(request, std::move(completion));
    Proxy& proxy = m_proxies.at(host);
    proxy.outbox.polls.push_back(
        { enqueue(proxy, request.maxWait + pollTimeoutMargin, nullptr, std::move(completion)), request });
}

void WorkerProxyDispatcher::flush()
{
    const TimePoint now = steadyNow();
    std::vector<Pending> unsent;
    for (auto& [host, proxy] : m_proxies) {
        if (proxy.outbox.isEmpty())
            continue;
        const WorkerRequestBatch requests
            = std::exchange(proxy.outbox, WorkerRequestBatch { .leader = m_self, .fence = m_fence });
        const uint64_t firstId = std::min({ requests.starts.empty() ? UINT64_MAX : requests.starts.front().requestId,
            requests.stops.empty() ? UINT64_MAX : requests.stops.front().requestId,
            requests.polls.empty() ? UINT64_MAX : requests.polls.front().requestId });
        const auto oldest = proxy.pending.find(firstId);
        const bool isLate = oldest != proxy.pending.end() && now - oldest->second.queuedAt > maxQueueTime;
        if (!isLate && m_links.send(host, HostMessageKind::WorkerRequests, encodeWorkerRequests(requests)))
            continue;
        if (!isLate)
            proxy.notUsedUntil = now + failurePause;
        for (auto item = proxy.pending.lower_bound(firstId); item != proxy.pending.end();) {
            unsent.push_back(std::move(item->second));
            item = proxy.pending.erase(item);
        }
    }
    // Run after the loop, since completions may queue new requests.
    for (auto& pending : unsent)
        complete(pending, WorkerRequestStatus::NotSent,
            { ErrorCode::Unavailable, "the request was not sent to the worker proxy" });
}

void WorkerProxyDispatcher::handleResponses(std::string_view bytes)
{
    const auto batch = decodeWorkerResponses(bytes);
    if (!batch) {
        EventLog::write(EventLevel::Warning, Event::RequestRejected, batch.error().message);
        return;
    }
    const auto found = m_proxies.find(batch->proxy);
    if (batch->fence != m_fence || found == m_proxies.end())
        return;
    found->second.lastResponse = steadyNow();
    const auto extractPending = [&](uint64_t requestId) -> std::optional<Pending> {
        // Looked up again each time, since a completion may have ended this leadership.
        const auto proxy = m_proxies.find(batch->proxy);
        if (proxy == m_proxies.end())
            return std::nullopt;
        const auto node = proxy->second.pending.extract(requestId);
        return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
    };
    for (const auto& [requestId, response] : batch->runResults) {
        if (auto pending = extractPending(requestId); pending && pending->runCompletion)
            pending->runCompletion(response);
    }
    for (const auto& [requestId, response] : batch->pollResults) {
        if (auto pending = extractPending(requestId); pending && pending->pollCompletion)
            pending->pollCompletion(response);
    }
    for (const auto& [requestId, error] : batch->pollFailures) {
        if (auto pending = extractPending(requestId); pending && pending->pollCompletion)
            pending->pollCompletion(tl::unexpected(error));
    }
}

void WorkerProxyDispatcher::expire(TimePoint now)
{
    std::vector<Pending> expired;
    bool hasPending = false;
    for (auto& [host, proxy] : m_proxies) {
        const auto isOverdue = [now](const auto& item) { return now >= item.second.deadline; };
        const auto overdue = std::count_if(proxy.pending.begin(), proxy.pending.end(), isOverdue);
        // The proxy's own timeouts are shorter, so it would have reported a worker that does not respond.
        const bool isSilent = overdue && now - proxy.lastResponse > recentResponseWindow;
        if (isSilent)
            proxy.notUsedUntil = now + failurePause;
        // Long polls would otherwise wait on: all requests of a silent proxy fail at once, so that its workers are
        // polled another way and get work again.
        for (auto item = proxy.pending.begin(); item != proxy.pending.end();) {
            if (!isSilent && !isOverdue(*item)) {
                ++item;
                continue;
            }
            expired.push_back(std::move(item->second));
            item = proxy.pending.erase(item);
        }
        hasPending = hasPending || !proxy.pending.empty();
        if (!overdue)
            continue;
        EventLog::write(EventLevel::Warning, Event::CourierSilent, "a worker proxy does not respond to requests",
            { { "host", host.value() }, { "orders", std::to_string(overdue) },
                { "silentMs", std::to_string((now - proxy.lastResponse) / 1ms) } });
    }
    if (hasPending)
        m_expiryTimer.schedule(expiryPeriod);
    for (auto& pending : expired)
        complete(pending, WorkerRequestStatus::NoResponse, { ErrorCode::Timeout, "no response from the worker proxy" });
}

void WorkerProxyDispatcher::complete(Pending& pending, WorkerRequestStatus status, const Error& error)
{
    if (pending.runCompletion)
        pending.runCompletion({ .status = status });
    else if (pending.pollCompletion)
        pending.pollCompletion(tl::unexpected(error));
}

} // namespace hickoryknot
