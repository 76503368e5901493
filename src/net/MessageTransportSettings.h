#pragma once

#include <cstddef>

#include "core/Time.h"

namespace hickoryknot {

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
};

} // namespace hickoryknot
