#pragma once

#include "placement/Indices.h"

namespace hickoryknot {

/// The worker chosen for one task, with what explain() reports.
struct Choice {
    WorkerIndex worker { noIndex };
    /// Static text.
    const char* reason { "" };
    /// Fitting workers (racks when spreading) that were compared; 0 if the reason alone decided.
    uint32_t compared { 0 };
    /// Tasks of the same job in the worker's rack.
    uint32_t othersInRack { 0 };

    bool isFound() const { return worker != noIndex; }
};

} // namespace hickoryknot
