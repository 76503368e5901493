#pragma once

#include <optional>
#include <string>
#include <vector>

#include "log/HardState.h"
#include "log/LogEntry.h"
#include "log/Snapshot.h"

namespace hickoryknot {

/// The state that a RecordStore recovered from its folder.
struct RecoveredLog {
    bool wasEmpty { true }; // The folder was new.
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries; // Contiguous entries after the snapshot.
    uint64_t truncatedBytes { 0 }; // Size of the incomplete batch truncated from the end.
    std::vector<std::string> damagedSnapshots; // Snapshot files that failed their checksum.
};

} // namespace hickoryknot
