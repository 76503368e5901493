#pragma once

#include <cstdint>
#include <vector>

#include "core/Ids.h"

namespace hickoryknot {

/// Which hosts and zones have applied a table version.
struct TableAcknowledgement {
    uint64_t version { 0 };
    /// True once each known host has applied the version, or its table lease has expired so that it no longer serves
    /// rows with cutOff=stop by an older version.
    bool isComplete { false };
    /// Known hosts that have not applied the version.
    std::vector<HostId> missingHosts {};
    /// Zones in which no host has applied the version.
    std::vector<ZoneId> missingZones {};
};

} // namespace hickoryknot
