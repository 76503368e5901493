#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>

#include "control/CourierMessage.h"
#include "control/DeferredCall.h"
#include "control/WorkerClient.h"

namespace hickoryknot {

class HostMessageLinks;

/// The leader's way to workers. With few workers it calls them itself; beyond that the calls, which cost far more than
/// the decisions, are divided among the other hosts that keep state, so that the leader only writes and reads batches.
/// All orders for a worker go to the same courier while it is there. For the leader's io_context thread.
class CourierDispatcher final : public WorkerClient {
public:
    /// `own` is this host's own way to workers.
    CourierDispatcher(boost::asio::io_context&, const HostId& self, HostMessageLinks&, WorkerClient& own);
    ~CourierDispatcher() override;

    /// This host leads under the fence: forgets everything about an earlier leadership.
    void begin(uint64_t fence);
    /// This host leads no longer: nothing is sent, and no completion runs.
    void end();

    /// A host that said that it carries orders.
    void courierHeard(const HostId&, TimePoint now);
    /// How many workers there are decides whether couriers are used.
    void setWorkerCount(size_t count) { m_workerCount = count; }

    void start(const workflow::StartRunRequest&, RequestCompletion) override;
    void stop(const workflow::StopRunRequest&, RequestCompletion) override;
    void poll(const workflow::PollRequest&, PollCompletion) override;

    /// The courier that orders for this worker go to; empty: this host calls the worker itself.
    HostId courierOf(const WorkerId&, TimePoint now) const;

private:
    struct Pending {
        TimePoint queuedAt;
        TimePoint deadline;
        RequestCompletion orderDone; // One of the two is set.
        PollCompletion lookDone;
    };
    struct Courier {
        TimePoint heardAt;
        TimePoint usableFrom; // After orders without an answer.
        CourierOrders outbox;
        std::map<uint64_t, Pending> pending; // Handed over or in the outbox.
        TimePoint answeredAt;
    };

    uint64_t enqueue(Courier&, Duration limit, RequestCompletion, PollCompletion);
    void flush();
    void take(std::string_view bytes);
    void expire(TimePoint now);
    static void finish(Pending&, workflow::WorkerRequestStatus, const Error&);

    HostId m_self;
    HostMessageLinks& m_links;
    WorkerClient& m_own;
    DeferredCall m_flush;
    DeferredCall m_expiry;
    uint64_t m_fence { 0 }; // 0: this host does not lead.
    uint64_t m_nextNumber { 1 };
    size_t m_workerCount { 0 };
    std::map<HostId, Courier> m_couriers;
};

} // namespace hickoryknot
