#pragma once

#include <cstddef>
#include <cstdint>

namespace hickoryknot {

/// Parts of a process's memory budget. Each has room of its own, so that no sort of client can starve another.
enum class MemoryPool : uint8_t {
    Clients, // Callers and operators.
    Workers, // Reports of workers and backend servers.
    Hosts, // Calls and messages between hosts, and readiness probes.
};

inline constexpr size_t memoryPoolCount = 3;

} // namespace hickoryknot
