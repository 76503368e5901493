#pragma once

#include <cstdint>
#include <string>

#include "core/Ids.h"
#include "core/Resources.h"

namespace hickoryknot {

/// Status that each host sends to its peers every 250 ms.
struct PeerMessage {
    HostId host;
    /// Random id of the host's store; changes when the disk is erased or replaced. Any 64-bit value.
    uint64_t storeId { 0 };
    /// Incremented by each start of the host process.
    uint64_t incarnation { 0 };
    ZoneId zone;
    /// Incremented by each message of one incarnation, so that receivers ignore older ones.
    uint64_t sequence { 0 };
    uint64_t appliedTableVersion { 0 };
    /// True while the host leads its zone's group in `zoneTerm`.
    bool leadsZone { false };
    uint64_t zoneTerm { 0 };
    /// Table version whose cut-off rules the zone has recorded for its jobs; meaningful while `leadsZone`.
    uint64_t zoneCutOffVersion { 0 };
    /// Epoch of the zone in the host's replica of the cell state; meaningful while `leadsZone`.
    uint64_t zoneEpoch { 0 };
    bool isDraining { false };
    /// Numeric IP address and port on which the host listens.
    std::string address;
    uint16_t port { 0 };
    /// Free capacity of the zone; meaningful while `leadsZone`.
    Resources free;
};

} // namespace hickoryknot
