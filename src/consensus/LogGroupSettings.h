#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "consensus/LogTimings.h"
#include "consensus/Member.h"

namespace hickoryknot {

/// Options of a LogGroup.
struct LogGroupSettings {
    std::string group; // Messages of other groups are dropped.
    HostId self;
    std::vector<InitialMember> initialMembers; // Used only when the store is empty; equal on all hosts.
    uint64_t seed { 0 }; // For election timeouts and, without a store, the session id; new at each start.
    LogTimings timings;
    // A snapshot is taken after this many entries, or after this many payload bytes: both the memory and the time to
    // read the log at a start go by bytes. With the newest two snapshots the disk holds about twice as much.
    uint64_t snapshotInterval { 4096 };
    uint64_t snapshotBytes { 16 << 20 };
    // Entries before a snapshot kept in memory for slightly lagging members, limited by both.
    uint64_t trailingEntries { 1024 };
    uint64_t trailingBytes { 8 << 20 };
    uint64_t maxPayloadBytes { 4 << 20 };
    uint64_t maxPendingBytes { 64 << 20 }; // Uncommitted payload bytes; proposals above the limit fail.
    uint64_t batchBytes { 256 << 10 }; // Payload bytes per append message or snapshot chunk.
};

} // namespace hickoryknot
