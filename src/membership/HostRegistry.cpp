#include "membership/HostRegistry.h"

#include <utility>

namespace hickoryknot {

bool HostRegistry::onPeerMessage(const PeerMessage& message, TimePoint now)
{
    const auto [at, isNew] = m_hosts.try_emplace(message.host);
    TrackedHost& view = at->second;
    // Messages of one disk may overtake each other; another disk counts its starts anew.
    if (!isNew && message.storeId == view.storeId
        && std::pair(message.incarnation, message.sequence) <= std::pair(view.incarnation, view.sequence))
        return false;
    view = { .host = message.host,
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
    const TrackedHost* view = find(host);
    return !view || now - view->lastContactAt > m_settings.silentAfter;
}

const TrackedHost* HostRegistry::zoneLeader(const ZoneId& zone, TimePoint now) const
{
    const TrackedHost* leader = nullptr;
    for (const auto& [host, view] : m_hosts) {
        if (view.zone != zone || !view.leadsZone || now - view.lastContactAt > m_settings.silentAfter)
            continue;
        if (!leader || view.zoneTerm > leader->zoneTerm)
            leader = &view;
    }
    return leader;
}

} // namespace hickoryknot
