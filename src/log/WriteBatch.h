#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "log/HardState.h"
#include "log/LogEntry.h"
#include "log/Snapshot.h"

namespace hickoryknot {

/// Changes that are made durable with one sync. An entry with an existing index replaces that entry and all after it.
struct WriteBatch {
    uint64_t sequence { 0 }; // Ascending; echoed in the WriteResult.
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries; // Contiguous.
    std::optional<Snapshot> snapshot; // Written before the records.
    bool isLogReset { false }; // The snapshot replaces the whole log; `entries` follow it.
    bool isIdentityRenewed { false }; // The store gets a new store id.
};

} // namespace hickoryknot
