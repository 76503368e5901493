#include "app/ControlContext.h"

#include "app/SteadyTime.h"

namespace hickoryknot {

ControlContext::ControlContext(const HostSettings& hostSettings)
    : settings(hostSettings)
    , zone(hostSettings.zone)
    , peers(HostRegistrySettings {})
{
    for (const auto& address : settings.hosts)
        directory.emplace(address.host, address);
}

std::optional<HostId> ControlContext::findCellHost() const
{
    auto leader = cellGroup->group().leader();
    if (leader && *leader != settings.host)
        return leader;
    return std::nullopt;
}

std::optional<HostId> ControlContext::findZoneHost(const ZoneId& zoneId, TimePoint now) const
{
    if (zoneId == settings.zone) {
        auto leader = zoneGroup->group().leader();
        return leader && *leader != settings.host ? leader : std::nullopt;
    }
    if (const auto* leader = peers.zoneLeader(zoneId, now))
        return leader->host;
    for (const auto& [host, view] : peers.hosts()) {
        if (view.zone == zoneId && !peers.isSilent(host, now))
            return host;
    }
    return std::nullopt;
}

Proposer::Target ControlContext::cellTarget()
{
    return { .group = "cell", .local = cellGroup.get(), .findHost = [this] { return findCellHost(); } };
}

Proposer::Target ControlContext::zoneTarget(const ZoneId& zoneId)
{
    return { .group = "zone", .local = zoneId == settings.zone ? zoneGroup.get() : nullptr, .findHost = [this, zoneId] {
                return findZoneHost(zoneId, steadyNow());
            } };
}

Proposer::Target ControlContext::homeTarget(const std::optional<ZoneId>& homeZone)
{
    return homeZone ? zoneTarget(*homeZone) : cellTarget();
}

bool ControlContext::holdsTableLease(TimePoint now) const { return tableLease.isHeld(now); }

bool ControlContext::mayServe(const Row& row, TimePoint now) const
{
    return row.cutOff == CutOffRule::Keep || holdsTableLease(now);
}

UnixMs toUnixMs(WallTime wall)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch()).count();
}

} // namespace hickoryknot
