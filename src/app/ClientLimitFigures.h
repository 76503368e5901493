#pragma once

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "net/ClientLimitCounters.h"
#include "net/MemoryPool.h"

namespace hickoryknot {

class Metrics;

/// What a process did about clients that exceed its limits, at one time.
struct ClientLimitFigures {
    std::array<size_t, memoryPoolCount> heldBytes {};
    /// By name of the port.
    std::vector<std::pair<std::string, ClientLimitCounters>> ports;

    void addTo(Metrics&) const;
};

} // namespace hickoryknot
