#pragma once

#include <cstdint>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "routing/CapacityPartition.h"

namespace hickoryknot {

/// Granted or used capacity of one incarnation of a server.
struct ServerAllocation {
    ServerId server;
    uint64_t incarnation { 0 };
    ServerCapacity capacity;

    friend bool operator==(const ServerAllocation&, const ServerAllocation&) = default;
};

/// Request of an entry host to the zone leader for a slot lease; sent every 250 ms.
struct SlotRequest {
    HostId host;
    /// Increases with each start of the host process.
    uint64_t incarnation { 0 };
    /// Increases with each request of one incarnation.
    uint64_t number { 0 };
    /// Waiting and running requests on this host.
    uint32_t demand { 0 };
    /// Newest grant that the host adopted; it never uses an older grant again. 0 if there is none.
    uint64_t adoptedTerm { 0 };
    uint64_t adoptedNumber { 0 };
    /// Capacity in use beyond the base share; may exceed the adopted grant until requests under an earlier, larger
    /// grant have finished.
    std::vector<ServerAllocation> inUse;
};

/// Response of the zone leader. The lease starts at the time at which the host sent the request.
struct SlotGrant {
    HostId host;
    uint64_t incarnation { 0 };
    /// Number of the request.
    uint64_t requestNumber { 0 };
    /// Term of the granting leader.
    uint64_t term { 0 };
    /// Increases with each grant of one term.
    uint64_t number { 0 };
    Duration lease { 0 };
    /// Pool capacity beyond the base share; none for servers that are not listed.
    std::vector<ServerAllocation> servers;
};

} // namespace hickoryknot
