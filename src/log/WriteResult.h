#pragma once

#include <cstdint>
#include <optional>

#include "core/Error.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// The outcome of a WriteBatch. After an error neither this batch nor later ones may be acknowledged.
struct WriteResult {
    uint64_t sequence { 0 };
    std::optional<Error> error;
    StoreIdentity identity; // Identity of the store after the write.
};

} // namespace hickoryknot
