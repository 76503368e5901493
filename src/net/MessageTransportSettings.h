#pragma once

#include <cstddef>
#include <memory>

#include "core/Time.h"

namespace hickoryknot {

class MemoryBudget;

struct MessageTransportSettings {
    /// Maximum bytes queued for one peer; further messages are dropped. A healthy peer needs far less than this.
    size_t maxQueuedBytes { size_t { 8 } * 1024 * 1024 };
    /// Largest message accepted from a peer.
    size_t maxMessageBytes { size_t { 4 } * 1024 * 1024 };
    /// After this time, the peer counts as down or unreachable.
    Duration connectTimeout { 250ms };
    /// Delay between a failed connection and the next attempt.
    Duration reconnectDelay { 50ms };
    /// If sent data is not acknowledged within this time, a probe is sent.
    Duration probeAfter { 200ms };
    /// If sent data is not acknowledged within this time, the connection is closed and reopened for the next message,
    /// since it may be half-open.
    Duration ackTimeout { 500ms };
    /// The receiver closes a connection on which nothing has arrived for this long.
    Duration idleTimeout { 30s };
    /// The receiver closes a connection whose message has been incomplete for this long.
    Duration messageTimeout { 10s };
    /// At this limit, the connection on which nothing has arrived for longest is closed for a new one.
    size_t maxInboundConnections { 256 };
    /// The memory for incomplete messages. Null: one of its own, with defaults.
    std::shared_ptr<MemoryBudget> memory {};
};

} // namespace hickoryknot
