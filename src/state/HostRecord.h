#pragma once

#include <cstdint>
#include <vector>

#include "core/Ids.h"
#include "state/RequestTime.h"

namespace hickoryknot {

/// A host of the cell as recorded.
struct HostRecord {
    HostId host {};
    ZoneId zone {};
    uint64_t storeId { 0 };
    uint64_t incarnation { 0 };
    UnixMs sinceMs { 0 };
};

/// A zone of the cell as recorded.
struct ZoneRecord {
    ZoneId zone {};
    /// Grows when the cell takes jobs away from the zone, and when its group starts empty. A zone leader gets a zone
    /// lease only once its copy of the cell state has the newest epoch, so that it cannot start a job that has moved.
    uint64_t epoch { 1 };
    /// Grows with each named set of voters.
    uint64_t generation { 0 };
    std::vector<HostId> members {};
    UnixMs sinceMs { 0 };
};

} // namespace hickoryknot
