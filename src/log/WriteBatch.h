#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "log/HardState.h"
#include "log/LogEntry.h"
#include "log/Snapshot.h"

namespace hickoryknot {

/// What one write with one sync makes durable. An entry whose index exists already replaces it and all after it.
struct WriteBatch {
    uint64_t sequence { 0 }; // Ascending; echoed in the WriteResult.
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries; // Without gaps.
    std::optional<Snapshot> snapshot; // Written before the records.
    bool isLogRestarted { false }; // The snapshot replaces the whole log; `entries` follow it.
    bool isIdentityRenewed { false }; // The store takes a new store id.
};

} // namespace hickoryknot
