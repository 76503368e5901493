#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "control/PermissionProxySelector.h"
#include "control/PermissionService.h"
#include "core/Ids.h"
#include "net/HttpClient.h"
#include "workflow/PermissionTracker.h"

namespace hickoryknot {

/// Distributes the leader's calls to the permission service over the hosts of the cluster, since the service serves one
/// call at a time per calling host; see PermissionProxySelector. Must be used on the leader's io_context thread.
class PermissionDispatcher {
public:
    using Completion = std::function<void(Expected<workflow::PermissionResponse>)>;

    /// `direct` calls the service from this host; null if this host cannot reach it.
    PermissionDispatcher(boost::asio::io_context&, const HostId& self, PermissionService* direct);
    ~PermissionDispatcher();

    /// Records a heartbeat of a host that can call the service.
    void onProxyHeartbeat(const HostId&, TimePoint now);

    /// Calls the service through the chosen host. The completion runs once. Error Overloaded: all hosts are busy.
    void request(const workflow::PermissionRequest&, TimePoint now, Completion);

private:
    HostId m_self;
    PermissionService* m_direct;
    HttpClient m_client;
    PermissionProxySelector m_proxies;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot
