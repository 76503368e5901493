#pragma once

#include <map>
#include <optional>
#include <utility>

#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

/// Chooses the host that makes the next call to the permission service on behalf of the leader. The service serves one
/// call at a time per calling host, so each call goes to the host that is expected to be idle first. Hosts that do not
/// respond are avoided, as when a zone is cut off. Not thread safe.
class PermissionProxySelector {
public:
    /// Records a heartbeat of a host that can call the service.
    void onHeartbeat(const HostId&, TimePoint now);

    struct Choice {
        HostId host;
        TimePoint estimatedStart; // When the calls assigned to it so far are expected to end.
    };
    /// Empty if no host is usable.
    std::optional<Choice> choose(Duration estimatedCallTime, TimePoint now) const;
    /// Adds a call to the host's queue. Returns when the call is expected to end.
    TimePoint assign(const HostId&, Duration estimatedCallTime, TimePoint now);
    /// Records that a call through the host got no response.
    void onFailure(const HostId&, TimePoint now);

private:
    struct Proxy {
        HostId host;
        TimePoint lastHeartbeat;
        TimePoint idleFrom;
        std::optional<TimePoint> lastFailure;
    };

    bool isUsable(const Proxy&, TimePoint now) const;

    /// Ordered by the hash of the host id. Ordering by address would put the hosts of a zone next to each other, and
    /// then all hosts reserved for short calls could be in one zone.
    std::map<std::pair<uint64_t, HostId>, Proxy> m_proxies;
};

} // namespace hickoryknot
