#pragma once

#include <vector>

#include "placement/Indices.h"

namespace hickoryknot {

/// Queued jobs of one team in one row, ordered by (rank, sequence), starting at `first`.
struct TeamQueue {
    RowIndex row { noIndex };
    TeamIndex team { noIndex };
    std::vector<JobIndex> jobs;
    uint32_t first { 0 };
    /// Nothing of the queue could start at this EngineState::unblockGeneration.
    uint64_t blockedAtGeneration { 0 };

    bool isEmpty() const { return first == jobs.size(); }
};

} // namespace hickoryknot
