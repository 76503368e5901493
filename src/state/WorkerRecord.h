#pragma once

#include <cstdint>

#include "core/Ids.h"
#include "core/Resources.h"

namespace hickoryknot {

/// Replicated record of a worker. An empty id marks an unused entry.
struct WorkerRecord {
    WorkerId worker {};
    uint64_t incarnation { 0 };
    RackId rack {};
    /// Capacity that the worker declared.
    Resources capacity {};
    /// Sum over the assigned tasks.
    Resources used {};
    uint32_t assigned { 0 };
};

} // namespace hickoryknot
