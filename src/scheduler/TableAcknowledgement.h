#pragma once

#include <cstdint>
#include <vector>

#include "core/Ids.h"

namespace hickoryknot {

/// Who has a table version in force.
struct TableAcknowledgement {
    uint64_t version { 0 };
    /// True once each known host has applied the version or can no longer serve rows with cutOff=stop by an older one.
    bool isComplete { false };
    /// Known hosts that have not applied it.
    std::vector<HostId> missingHosts {};
    /// Zones of which no host has applied it.
    std::vector<ZoneId> missingZones {};
};

} // namespace hickoryknot
