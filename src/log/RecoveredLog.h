#pragma once

#include <optional>
#include <string>
#include <vector>

#include "log/HardState.h"
#include "log/LogEntry.h"
#include "log/Snapshot.h"

namespace hickoryknot {

/// What a RecordStore found in its folder.
struct RecoveredLog {
    bool wasEmpty { true }; // The folder was new.
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries; // Those after the snapshot, without gaps.
    uint64_t cutBytes { 0 }; // Size of the incomplete batch that was removed from the end.
    std::vector<std::string> damagedSnapshots; // Files that failed their checksum and were not needed.
};

} // namespace hickoryknot
