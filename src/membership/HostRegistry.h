#pragma once

#include <map>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "protocol/PeerMessage.h"

namespace hickoryknot {

/// Contents of the latest peer message of a host. Soft state: lost with the process and rebuilt within one peer message
/// interval.
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
    /// Four missed peer messages, which are sent every 250 ms.
    Duration silentAfter { 1s };
};

/// Tracks entry hosts by their peer messages. Not thread safe.
class HostRegistry {
public:
    explicit HostRegistry(HostRegistrySettings settings)
        : m_settings(settings)
    {
    }

    /// Returns false if the message is not newer than the latest one; it then has no effect.
    bool onPeerMessage(const PeerMessage&, TimePoint now);
    void forget(const HostId& host) { m_hosts.erase(host); }
    void clear() { m_hosts.clear(); }

    /// Null if no message of the host was received.
    const TrackedHost* find(const HostId&) const;
    bool isSilent(const HostId&, TimePoint now) const;
    /// The host that leads the zone's group in the highest term among hosts that are not silent, or null.
    const TrackedHost* zoneLeader(const ZoneId&, TimePoint now) const;
    const std::map<HostId, TrackedHost>& hosts() const { return m_hosts; }

private:
    HostRegistrySettings m_settings;
    std::map<HostId, TrackedHost> m_hosts;
};

} // namespace hickoryknot
