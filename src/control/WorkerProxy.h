#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string_view>

#include "control/CoalescingTimer.h"
#include "control/WorkerClient.h"
#include "control/WorkerProxyMessages.h"

namespace hickoryknot {

class HostMessageLinks;

/// Forwards requests of the leader to workers and returns their responses in batches. It does not check whether
/// requests are still valid: a worker rejects a late one because its lease has expired or its fencing token is too low.
/// Must be used on the io_context's thread.
class WorkerProxy {
public:
    WorkerProxy(boost::asio::io_context&, const HostId& self, HostMessageLinks&, WorkerClient&);
    ~WorkerProxy();

    /// Handles a request batch; drops it if a later leader has already sent requests.
    void handleRequests(std::string_view bytes);

private:
    void forwardToWorkers(const WorkerRequestBatch&);
    void flush();

    HostMessageLinks& m_links;
    WorkerClient& m_workers;
    CoalescingTimer m_flushTimer;
    HostId m_leader; // The one with the highest fencing token so far.
    WorkerResponseBatch m_responses;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot
