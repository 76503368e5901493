#pragma once

#include "placement/Indices.h"

namespace hickoryknot {

/// The worker chosen for a task, with the details that explain() reports.
struct WorkerChoice {
    WorkerIndex worker { noIndex };
    /// Static string.
    const char* reason { "" };
    /// Number of fitting workers (racks when spreading) that were compared; 0 if there was no comparison.
    uint32_t comparedCount { 0 };
    /// Running tasks of the same job in the worker's rack.
    uint32_t otherTasksInRack { 0 };

    bool isFound() const { return worker != noIndex; }
};

} // namespace hickoryknot
