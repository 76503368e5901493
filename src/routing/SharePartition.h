#pragma once

#include <cstdint>

#include "core/Ids.h"

namespace hickoryknot {

/// Slots and connections of one server.
struct SlotCount {
    uint32_t slots { 0 };
    uint32_t connections { 0 };

    friend bool operator==(const SlotCount&, const SlotCount&) = default;
};

/// Splits each server's capacity into fixed base shares, one per seat, and a pool that SlotAllocator grants under a
/// lease.
///
/// A base share needs no granter, so a host in a zone without a leader can still serve. It is a function of the server
/// id, its capacity and the seat only; distinct seats never overlap, whatever each host believes about the others. The
/// price is that the base of a dead host stays unused until a host with that seat comes back.
///
/// `seats` is the number of entry hosts configured for the zone and must be equal on all of them; no two running hosts
/// may have the same seat. A host whose seat is `seats` or higher has no base share.
class SharePartition {
public:
    explicit SharePartition(uint32_t seats)
        : m_seats(seats)
    {
    }

    uint32_t seats() const { return m_seats; }

    /// One slot for each seat as long as the bases take at most half of the slots; otherwise as many seats as fit into
    /// that half have one slot, and which ones rotates with the server id.
    SlotCount baseOf(uint32_t seat, const ServerId&, SlotCount capacity) const;

    /// What remains after all base shares.
    SlotCount poolOf(SlotCount capacity) const;

private:
    uint32_t m_seats;
};

} // namespace hickoryknot
