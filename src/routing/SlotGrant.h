#pragma once

#include <cstdint>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "routing/SharePartition.h"

namespace hickoryknot {

/// Capacity of one incarnation of one server: granted, or in use.
struct ServerSlots {
    ServerId server;
    uint64_t incarnation { 0 };
    SlotCount count;

    friend bool operator==(const ServerSlots&, const ServerSlots&) = default;
};

/// An entry host asks the zone leader for slots; sent every 250 ms.
struct SlotRequest {
    HostId host;
    /// Grows with each start of the host process.
    uint64_t incarnation { 0 };
    /// Grows with each ask of one incarnation.
    uint64_t number { 0 };
    /// Requests that wait or run on this host.
    uint32_t demand { 0 };
    /// Newest grant that the host adopted; it will never use an older one again. 0 when there is none.
    uint64_t adoptedTerm { 0 };
    uint64_t adoptedNumber { 0 };
    /// Capacity in use beyond the base share; may exceed the adopted grant while requests of a larger one finish.
    std::vector<ServerSlots> inUse;
};

/// The zone leader's answer. The host counts the lease from the moment it sent the ask.
struct SlotGrant {
    HostId host;
    uint64_t incarnation { 0 };
    /// Ask that this answers.
    uint64_t askNumber { 0 };
    /// Term of the granting leader.
    uint64_t term { 0 };
    /// Grows with each grant of one term.
    uint64_t number { 0 };
    Duration lease { 0 };
    /// Pool capacity beyond the base share; servers not listed have none.
    std::vector<ServerSlots> servers;
};

} // namespace hickoryknot
