#pragma once

#include <cstdint>

#include "core/Ids.h"
#include "core/Resources.h"

namespace hickoryknot {

/// A worker of a zone as recorded. An empty id marks a free place.
struct WorkerRecord {
    WorkerId worker {};
    uint64_t incarnation { 0 };
    RackId rack {};
    /// Declared size: the limit.
    Resources capacity {};
    /// Sum over the tasks assigned to it.
    Resources used {};
    uint32_t assigned { 0 };
};

} // namespace hickoryknot
