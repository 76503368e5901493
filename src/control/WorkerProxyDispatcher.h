#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>

#include "control/CoalescingTimer.h"
#include "control/WorkerClient.h"
#include "control/WorkerProxyMessages.h"

namespace hickoryknot {

class HostMessageLinks;

/// Sends the leader's requests to workers. With few workers the leader calls them directly. With many, where the calls
/// cost far more CPU than scheduling, it distributes them in batches to the other replicas, which act as worker
/// proxies. All requests for a worker go through the same proxy while that is available. Must be used on the leader's
/// io_context thread.
class WorkerProxyDispatcher final : public WorkerClient {
public:
    /// `direct` calls workers from this host.
    WorkerProxyDispatcher(boost::asio::io_context&, const HostId& self, HostMessageLinks&, WorkerClient& direct);
    ~WorkerProxyDispatcher() override;

    /// This host became leader with this fencing token. Drops all state of an earlier leadership.
    void beginLeadership(uint64_t fence);
    /// This host is no longer leader. Drops queued and pending requests without running their completions.
    void endLeadership();

    /// Records a heartbeat of a host that can act as a worker proxy.
    void onProxyHeartbeat(const HostId&, TimePoint now);
    /// The number of workers decides whether proxies are used.
    void setWorkerCount(size_t count) { m_workerCount = count; }

    void start(const workflow::StartRunRequest&, RequestCompletion) override;
    void stop(const workflow::StopRunRequest&, RequestCompletion) override;
    void poll(const workflow::PollRequest&, PollCompletion) override;

    /// The proxy that requests for this worker go through; empty if this host calls the worker directly.
    HostId proxyFor(const WorkerId&, TimePoint now) const;

private:
    struct Pending {
        TimePoint queuedAt;
        TimePoint deadline;
        RequestCompletion runCompletion; // One of the two is set.
        PollCompletion pollCompletion;
    };
    struct Proxy {
        TimePoint lastHeartbeat;
        TimePoint notUsedUntil; // Set after requests that timed out or could not be sent.
        WorkerRequestBatch outbox;
        std::map<uint64_t, Pending> pending; // Sent or in the outbox, by request id.
        TimePoint lastResponse;
    };

    uint64_t enqueue(Proxy&, Duration timeout, RequestCompletion, PollCompletion);
    void flush();
    void handleResponses(std::string_view bytes);
    void expire(TimePoint now);
    static void complete(Pending&, workflow::WorkerRequestStatus, const Error&);

    HostId m_self;
    HostMessageLinks& m_links;
    WorkerClient& m_direct;
    CoalescingTimer m_flushTimer;
    CoalescingTimer m_expiryTimer;
    uint64_t m_fence { 0 }; // 0: this host does not lead.
    uint64_t m_nextRequestId { 1 };
    size_t m_workerCount { 0 };
    std::map<HostId, Proxy> m_proxies;
};

} // namespace hickoryknot
