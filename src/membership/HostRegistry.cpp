#include "membership/HostRegistry.h"

#include <utility>

namespace hickoryknot {

bool HostRegistry::onPeerMessage(const PeerMessage& message, TimePoint now)
{
    const auto [at, isNew] = m_hosts.try_emplace(message.host);
    TrackedHost& tracked = at->second;
    // Messages may arrive out of order. A replaced disk starts to count incarnations anew.
    if (!isNew && message.storeId == tracked.storeId
        && std::pair(message.incarnation, message.sequence) <= std::pair(tracked.incarnation, tracked.sequence))
        return false;
    tracked = { .host = message.host,
        .zone = message.zone,
        .storeId = message.storeId,
        .incarnation = message.incarnation,
        .sequence = message.sequence,
        .appliedTableVersion = message.appliedTableVersion,
        .leadsZone = message.leadsZone,
        .zoneTerm = message.zoneTerm,
        .zoneEpoch = message.zoneEpoch,
        .zoneCutOffVersion = message.zoneCutOffVersion,
        .isDraining = message.isDraining,
        .free = message.free,
        .lastContactAt = now };
    return true;
}

const TrackedHost* HostRegistry::find(const HostId& host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

bool HostRegistry::isSilent(const HostId& host, TimePoint now) const
{
    const TrackedHost* tracked = find(host);
    return !tracked || now - tracked->lastContactAt > m_settings.silentAfter;
}

const TrackedHost* HostRegistry::zoneLeader(const ZoneId& zone, TimePoint now) const
{
    const TrackedHost* leader = nullptr;
    for (const auto& [host, tracked] : m_hosts) {
        if (tracked.zone != zone || !tracked.leadsZone || now - tracked.lastContactAt > m_settings.silentAfter)
            continue;
        if (!leader || tracked.zoneTerm > leader->zoneTerm)
            leader = &tracked;
    }
    return leader;
}

} // namespace hickoryknot
