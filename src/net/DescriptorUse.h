#pragma once

#include <cstdint>

namespace hickoryknot {

/// Kind of process by what it connects to.
enum class DescriptorUse : uint8_t {
    Entry, // A few hosts.
    Control, // All workers.
    Serve, // Hosts and backend servers; all clients use one port.
};

} // namespace hickoryknot
