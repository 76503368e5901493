#pragma once

#include <array>
#include <cstddef>

#include "net/MemoryPool.h"

namespace hickoryknot {

struct MemoryBudgetSettings {
    /// Bytes that the requests and responses of each pool may hold.
    std::array<size_t, memoryPoolCount> poolBytes { size_t { 64 } << 20, size_t { 32 } << 20, size_t { 64 } << 20 };
    /// Requests up to this size displace larger ones. Above the size of ordinary submissions, reports and calls.
    size_t smallBytes { size_t { 64 } << 10 };
};

/// Shares of the machine's memory. Three eighths in total: decoded documents, connections and fragments of the heap
/// take up to as much again, and the process's own state needs the rest.
MemoryBudgetSettings memoryBudgetOf(size_t machineBytes);

} // namespace hickoryknot
