#pragma once

#include <cstdint>
#include <string>

#include "core/Ids.h"

namespace hickoryknot {

/// Status that a backend server sends to any entry host every 500 ms.
struct ServerHeartbeat {
    ServerId server;
    /// Incremented by each start of the server process.
    uint64_t incarnation { 0 };
    /// Incremented by each heartbeat of one incarnation, so that receivers ignore older ones.
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
