#pragma once

#include <cstdint>

#include "core/Ids.h"

namespace hickoryknot {

/// Request slots and connections of one server.
struct ServerCapacity {
    uint32_t slots { 0 };
    uint32_t connections { 0 };

    friend bool operator==(const ServerCapacity&, const ServerCapacity&) = default;
};

/// Splits the capacity of each server into fixed base shares, one per host index, and a pool that SlotAllocator grants
/// under leases.
///
/// A base share needs no grant, so a host in a zone without a leader can still serve. It depends only on the server id,
/// its capacity and the host index, so the base shares of different indices are disjoint even if the hosts disagree
/// about membership. The drawback: the base share of a failed host stays unused until a host with that index returns.
///
/// `hostCount` is the number of entry hosts configured for the zone and must be equal on all of them; no two running
/// hosts may have the same index. A host whose index is `hostCount` or higher has no base share.
class CapacityPartition {
public:
    explicit CapacityPartition(uint32_t hostCount)
        : m_hostCount(hostCount)
    {
    }

    uint32_t hostCount() const { return m_hostCount; }

    /// One slot per host as long as all base shares take at most half of the slots. Otherwise as many hosts as fit into
    /// that half have one slot each; the server id determines which hosts.
    ServerCapacity baseShare(uint32_t hostIndex, const ServerId&, ServerCapacity capacity) const;

    /// Capacity that remains after all base shares.
    ServerCapacity sharedPool(ServerCapacity capacity) const;

private:
    uint32_t m_hostCount;
};

} // namespace hickoryknot
