#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include "control/PermissionService.h"
#include "core/Ids.h"
#include "net/HttpClient.h"
#include "workflow/PermitBook.h"

namespace hickoryknot {

/// Spreads calls for permission over the hosts of the fleet, since the service serves one call at a time for each
/// calling host. Each call goes to the host that will be free first. For the leader's io_context thread.
class PermitDispatcher {
public:
    using Completion = std::function<void(Expected<workflow::PermitAnswer>)>;

    /// `own` is this host's way to the service; null if it has none.
    PermitDispatcher(boost::asio::io_context&, const HostId& self, PermissionService* own);
    ~PermitDispatcher();

    /// A host that said that it can call the service.
    void helperHeard(const HostId&, TimePoint now);

    /// Calls the service through a helper. The completion runs once.
    void ask(const workflow::PermitRequest&, TimePoint now, Completion);

private:
    struct Helper {
        TimePoint heardAt;
        TimePoint freeAt; // When the calls handed to it so far will be served.
        TimePoint usableFrom; // After a failed call.
    };

    HostId choose(Duration cost, TimePoint now) const;
    void answered(const HostId&, const Expected<workflow::PermitAnswer>&, TimePoint now);

    boost::asio::io_context& m_io;
    HostId m_self;
    PermissionService* m_own;
    HttpClient m_client;
    std::map<HostId, Helper> m_helpers;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot
