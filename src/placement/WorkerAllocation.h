#pragma once

#include "placement/Indices.h"

namespace hickoryknot {

/// Capacity for a number of tasks of one job on one worker.
struct WorkerAllocation {
    WorkerIndex worker { noIndex };
    uint32_t tasks { 0 };
};

} // namespace hickoryknot
