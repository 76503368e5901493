#pragma once

#include <map>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "protocol/PeerMessage.h"

namespace hickoryknot {

/// What a host last said of itself, and when. Soft state: lost with the process and rebuilt within one peer interval.
struct TrackedHost {
    HostId host {};
    ZoneId zone {};
    uint64_t storeId { 0 };
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 };
    uint64_t appliedTableVersion { 0 };
    bool leadsZone { false };
    uint64_t zoneTerm { 0 };
    uint64_t zoneEpoch { 0 };
    uint64_t zoneCutOffVersion { 0 };
    bool isDraining { false };
    /// Free capacity of the host's zone; meaningful while `leadsZone`.
    Resources free {};
    TimePoint lastContactAt {};
};

struct HostRegistrySettings {
    /// Four missed peer messages of 250 ms.
    Duration silentAfter { 1s };
};

/// Entry hosts as seen through their peer messages. Not thread safe.
class HostRegistry {
public:
    explicit HostRegistry(HostRegistrySettings settings)
        : m_settings(settings)
    {
    }

    /// Takes over a peer message. False: it is older than what is known and changes nothing.
    bool onPeerMessage(const PeerMessage&, TimePoint now);
    void forget(const HostId& host) { m_hosts.erase(host); }
    void clear() { m_hosts.clear(); }

    /// Null if the host was never heard.
    const TrackedHost* find(const HostId&) const;
    bool isSilent(const HostId&, TimePoint now) const;
    /// The host that leads the zone's group in the highest term among those heard lately, or null.
    const TrackedHost* zoneLeader(const ZoneId&, TimePoint now) const;
    const std::map<HostId, TrackedHost>& hosts() const { return m_hosts; }

private:
    HostRegistrySettings m_settings;
    std::map<HostId, TrackedHost> m_hosts;
};

} // namespace hickoryknot
