#pragma once

#include <vector>

#include "placement/Indices.h"

namespace hickoryknot {

/// Waiting jobs of one team in one row, in order of (rank, sequence) from `first` on.
struct TeamQueue {
    RowIndex row { noIndex };
    TeamIndex team { noIndex };
    std::vector<JobIndex> jobs;
    uint32_t first { 0 };
    /// Nothing of the queue could start when the engine's progress counter had this value.
    uint64_t blockedAt { 0 };

    bool isEmpty() const { return first == jobs.size(); }
};

} // namespace hickoryknot
