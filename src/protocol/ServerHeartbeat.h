#pragma once

#include <cstdint>
#include <string>

#include "core/Ids.h"

namespace hickoryknot {

/// What a backend server says of itself, every 500 ms, to any entry host.
struct ServerHeartbeat {
    ServerId server;
    /// Grows with each start of the server process.
    uint64_t incarnation { 0 };
    /// Grows with each heartbeat of one incarnation, so that hosts keep the newest.
    uint64_t sequence { 0 };
    ZoneId zone;
    RackId rack;
    /// Numeric IP address.
    std::string address;
    uint16_t port { 0 };
    uint32_t slots { 0 };
    uint32_t connectionLimit { 0 };
    uint32_t inFlight { 0 };
    bool isLeaving { false };
};

} // namespace hickoryknot
