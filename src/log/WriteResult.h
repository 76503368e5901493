#pragma once

#include <cstdint>
#include <optional>

#include "core/Error.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// What became of a WriteBatch. With an error, nothing of the batch may be acknowledged, and nothing later either.
struct WriteResult {
    uint64_t sequence { 0 };
    std::optional<Error> error;
    StoreIdentity identity; // Of the store after the write.
};

} // namespace hickoryknot
