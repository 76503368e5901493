#pragma once

#include <optional>
#include <vector>

#include "core/Ids.h"
#include "membership/ServerRegistry.h"
#include "routing/SlotGrant.h"

namespace hickoryknot {

/// Message from an entry host to each other entry host of its zone, sent every 250 ms as `POST /internal/zone`.
struct ZoneExchangeRequest {
    HostId host;
    ZoneId zone;
    /// Newest heartbeats that the sender has, so that the receiver returns only newer ones.
    std::vector<ServerDigestEntry> digest;
    /// Heartbeats that the receiver may not have yet.
    std::vector<RelayedHeartbeat> heartbeats;
    /// Free slots of the sender, which requests of other zones may use.
    uint32_t freeSlots { 0 };
    /// Present if the receiver is the zone leader as far as the sender knows.
    std::optional<SlotRequest> slotRequest;
};

/// Response to ZoneExchangeRequest.
struct ZoneExchangeResponse {
    /// Heartbeats that are newer than the sender's digest.
    std::vector<RelayedHeartbeat> heartbeats;
    std::optional<SlotGrant> slotGrant;
};

} // namespace hickoryknot
