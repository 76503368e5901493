#include "control/WorkerProxy.h"

#include "app/EventLog.h"
#include "control/HostMessageLinks.h"

namespace hickoryknot {

using namespace workflow;

namespace {

/// Responses that arrive within this time are sent in one message, since each message costs the leader CPU.
constexpr Duration responseBatchDelay = 4ms;

} // namespace

WorkerProxy::WorkerProxy(
    boost::asio::io_context& io, const HostId& self, HostMessageLinks& links, WorkerClient& workers)
    : m_links(links)
    , m_workers(workers)
    , m_flushTimer(io, [this] { flush(); })
{
    m_responses.proxy = self;
    m_links.setHandler(HostMessageKind::WorkerRequests, [this](std::string_view bytes) { handleRequests(bytes); });
}

WorkerProxy::~WorkerProxy()
{
    *m_isAlive = false;
    m_links.setHandler(HostMessageKind::WorkerRequests, nullptr);
}

void WorkerProxy::handleRequests(std::string_view bytes)
{
    const auto requests = decodeWorkerRequests(bytes);
    if (!requests) {
        EventLog::write(EventLevel::Warning, Event::RequestRejected, requests.error().message);
        return;
    }
    if (requests->fence < m_responses.fence) {
        EventLog::write(EventLevel::Info, Event::RequestRejected, "dropping requests of an earlier leader",
            { { "leader", requests->leader.value() }, { "term", std::to_string(requests->fence) } });
        return;
    }
    if (requests->fence > m_responses.fence) {
        // The earlier leader no longer waits for responses.
        const HostId self = m_responses.proxy;
        m_responses = { .proxy = self, .fence = requests->fence };
        m_leader = requests->leader;
    }
    forwardToWorkers(*requests);
}

void WorkerProxy::forwardToWorkers(const WorkerRequestBatch& requests)
{
    const auto onRunResponse = [this, alive = m_isAlive, fence = requests.fence](uint64_t requestId) {
        return [this, alive, fence, requestId](const RunResponse& response) {
            if (!*alive || fence != m_responses.fence)
                return;
            m_responses.runResults.push_back({ requestId, response });
            m_flushTimer.schedule(responseBatchDelay);
        };
    };
    for (const auto& [requestId, request] : requests.polls) {
        m_workers.poll(request,
            [this, alive = m_isAlive, fence = requests.fence, requestId = requestId](
                const Expected<PollResponse>& response) {
                if (!*alive || fence != m_responses.fence)
                    return;
                if (response)
                    m_responses.pollResults.push_back({ requestId, *response });
                else
                    m_responses.pollFailures.push_back({ requestId, response.error() });
                m_flushTimer.schedule(responseBatchDelay);
            });
    }
    for (const auto& [requestId, request] : requests.stops)
        m_workers.stop(request, onRunResponse(requestId));
    for (const auto& [requestId, request, commandIndex] : requests.starts)
        m_workers.start(request, onRunResponse(requestId));
}

void WorkerProxy::flush()
{
    if (m_responses.isEmpty())
        return;
    if (!m_links.send(m_leader, HostMessageKind::WorkerResponses, encodeWorkerResponses(m_responses)))
        EventLog::write(EventLevel::Warning, Event::LeaderLost,
            "dropping worker responses, the leader cannot be reached",
            { { "leader", m_leader.value() }, { "orders", std::to_string(m_responses.runResults.size()) },
                { "looks", std::to_string(m_responses.pollResults.size()) } });
    m_responses.runResults.clear();
    m_responses.pollResults.clear();
    m_responses.pollFailures.clear();
}

} // namespace hickoryknot
