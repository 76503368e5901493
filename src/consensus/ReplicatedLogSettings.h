#pragma once

#include <cstdint>
#include <string>

#include "consensus/LogTimings.h"
#include "consensus/Membership.h"
#include "core/Ids.h"
#include "log/RecoveredLog.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// Options and starting state of a ReplicatedLog.
struct ReplicatedLogSettings {
    std::string group;
    HostId self;
    StoreIdentity identity; // StoreId::None: a host without a disk, which never votes.
    Membership initialMembers; // Used while neither the snapshot nor the log has a member list.
    uint64_t seed { 0 };
    LogTimings timings;
    uint64_t trailingEntries { 1024 }; // Entries kept in memory below a snapshot.
    uint64_t trailingBytes { 8 << 20 }; // Payload bytes of these entries.
    uint64_t batchBytes { 256 << 10 }; // Payload bytes per append message or snapshot chunk.
    RecoveredLog recovered;
};

} // namespace hickoryknot
