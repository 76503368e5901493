#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "app/HostSettings.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "table/Row.h"

namespace hickoryknot {

/// State published by the control thread to the network thread: an immutable snapshot, replaced as a whole.
struct PublishedState {
    uint64_t tableVersion { 0 };
    std::shared_ptr<const std::vector<Row>> rows;
    /// End of the table lease on this host's clock.
    TimePoint tableLeaseEnd { TimePoint::min() };
    std::optional<HostId> cellLeader;
    std::optional<HostId> zoneLeader;
    bool leadsCell { false };
    /// Set while this host leads its zone's group with recent quorum confirmation.
    std::optional<uint64_t> zoneGranterTerm;
    /// Lower bound for the start of the latest confirmed quorum round of the zone's group.
    TimePoint zoneRoundStartedAt { TimePoint::min() };
    /// All known hosts of the cell, including this one.
    std::map<HostId, HostAddress> hosts;
    /// Hosts that sent a recent peer message, including this one.
    std::vector<HostId> liveHosts;
    /// Last known leaders of all zones.
    std::map<ZoneId, HostId> zoneLeaders;
    bool isDraining { false };
};

} // namespace hickoryknot
