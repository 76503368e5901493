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

/// What the control thread tells the network thread: an immutable copy, replaced as a whole.
struct PublishedState {
    uint64_t tableVersion { 0 };
    std::shared_ptr<const std::vector<Row>> rows;
    /// End of the table lease on this host's clock.
    TimePoint tableLeaseEnd { TimePoint::min() };
    std::optional<HostId> cellLeader;
    std::optional<HostId> zoneLeader;
    bool leadsCell { false };
    /// Present while this host leads its zone's group and a quorum has confirmed it lately.
    std::optional<uint64_t> zoneGranterTerm;
    /// Start of the latest confirmed quorum round of the zone's group, as far as it is known; a lower bound.
    TimePoint zoneRoundStartedAt { TimePoint::min() };
    /// All hosts of the cell as far as they are known, this one included.
    std::map<HostId, HostAddress> hosts;
    /// Hosts heard from lately, this one included.
    std::vector<HostId> liveHosts;
    /// Last known leaders of all zones.
    std::map<ZoneId, HostId> zoneLeaders;
    bool isDraining { false };
};

} // namespace hickoryknot
