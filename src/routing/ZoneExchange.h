#pragma once

#include <optional>
#include <vector>

#include "core/Ids.h"
#include "membership/ServerRegistry.h"
#include "routing/SlotGrant.h"

namespace hickoryknot {

/// What an entry host tells each other entry host of its zone every 250 ms, as `POST /internal/zone`.
struct ZoneExchangeRequest {
    HostId host;
    ZoneId zone;
    /// Newest heartbeats that the sender holds, so that the receiver answers with newer ones only.
    std::vector<ServerDigestEntry> digest;
    /// Heartbeats that the receiver may not have yet.
    std::vector<RelayedHeartbeat> heartbeats;
    /// Slots that the sender can spare for requests of other zones.
    uint32_t freeSlots { 0 };
    /// Present when the receiver is the zone's leader as far as the sender knows.
    std::optional<SlotRequest> slotRequest;
};

/// Answer to a ZoneExchangeRequest.
struct ZoneExchangeResponse {
    /// Heartbeats that are newer than the sender's digest.
    std::vector<RelayedHeartbeat> heartbeats;
    std::optional<SlotGrant> slotGrant;
};

} // namespace hickoryknot
