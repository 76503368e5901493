#pragma once

#include <cstdint>

namespace hickoryknot {

/// What a server or a message port did about clients that exceed its limits, since its start.
struct ClientLimitCounters {
    /// Requests answered 503 since the memory budget has no room; none of them reached the handler.
    uint64_t refusedRequests { 0 };
    /// Requests that were dropped unfinished, and responses that the client did not read, to make room for others.
    uint64_t droppedConnections { 0 };
    /// Connections closed for new ones at the connection limit.
    uint64_t evictedConnections { 0 };
    /// New connections answered 503 since all others were busy.
    uint64_t rejectedConnections { 0 };

    friend bool operator==(const ClientLimitCounters&, const ClientLimitCounters&) = default;
};

} // namespace hickoryknot
