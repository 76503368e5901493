#pragma once

#include <cstdint>
#include <vector>

#include "core/Ids.h"
#include "state/RequestTime.h"

namespace hickoryknot {

/// Replicated record of a host.
struct HostRecord {
    HostId host {};
    ZoneId zone {};
    uint64_t storeId { 0 };
    uint64_t incarnation { 0 };
    UnixMs sinceMs { 0 };
};

/// Replicated record of an availability zone.
struct ZoneRecord {
    ZoneId zone {};
    /// Incremented when the cell releases jobs of the zone and when its group starts empty. A zone leader is granted a
    /// zone lease only once its replica of the cell state has the latest epoch, so it cannot start a job that moved.
    uint64_t epoch { 1 };
    /// Incremented by each change of the voters.
    uint64_t generation { 0 };
    std::vector<HostId> members {};
    UnixMs sinceMs { 0 };
};

} // namespace hickoryknot
