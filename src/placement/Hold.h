#pragma once

#include "placement/Indices.h"

namespace hickoryknot {

/// Capacity for some tasks of one job on one worker.
struct Hold {
    WorkerIndex worker { noIndex };
    uint32_t tasks { 0 };
};

} // namespace hickoryknot
