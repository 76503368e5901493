#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "control/PermissionHelpers.h"
#include "control/PermissionService.h"
#include "core/Ids.h"
#include "net/HttpClient.h"
#include "workflow/PermissionTracker.h"

namespace hickoryknot {

/// Spreads calls for permission over the hosts of the fleet, since the service serves one call at a time for each
/// calling host; see PermissionHelpers. For the leader's io_context thread.
class PermitDispatcher {
public:
    using Completion = std::function<void(Expected<workflow::PermissionResponse>)>;

    /// `own` is this host's way to the service; null if it has none.
    PermitDispatcher(boost::asio::io_context&, const HostId& self, PermissionService* own);
    ~PermitDispatcher();

    /// A host that said that it can call the service.
    void helperHeard(const HostId&, TimePoint now);

    /// Calls the service through a helper. The completion runs once.
    void ask(const workflow::PermissionRequest&, TimePoint now, Completion);

private:
    HostId m_self;
    PermissionService* m_own;
    HttpClient m_client;
    PermissionHelpers m_helpers;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot
