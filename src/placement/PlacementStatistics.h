#pragma once

#include <cstdint>

#include "core/Time.h"

namespace hickoryknot {

/// Counters since the engine was made.
struct PlacementStatistics {
    uint64_t placedTasks { 0 };
    /// Starts on a worker that fails everything, one at a time.
    uint64_t probeTasks { 0 };
    /// Starts on capacity that is reserved for another job.
    uint64_t backfilledTasks { 0 };
    uint64_t preemptedTasks { 0 };
    uint64_t refusedJobs { 0 };
    uint64_t startedGangs { 0 };
    uint64_t reservations { 0 };
    /// Run time thrown away by Preempt decisions, summed over the stopped tasks.
    Duration lostWork { 0 };
};

} // namespace hickoryknot
