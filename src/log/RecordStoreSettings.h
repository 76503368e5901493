#pragma once

#include <cstdint>
#include <string>

#include "core/Ids.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// Options of a RecordStore.
struct RecordStoreSettings {
    std::string cell; // The cell the folder belongs to.
    std::string group; // The replicated log the folder belongs to.
    HostId host;
    /// Random for each start; becomes the store id if the folder is empty or needs a new one. Not 0.
    SessionId session { SessionId::None };
    uint64_t segmentBytes { 8 << 20 }; // A new segment starts once the last has reached this size.
};

} // namespace hickoryknot
