#pragma once

#include <cstdint>

#include "core/Time.h"

namespace hickoryknot {

/// Counters since the creation of the engine.
struct PlacementStatistics {
    uint64_t placedTasks { 0 };
    /// Tasks started as probes on workers on probation.
    uint64_t probeTasks { 0 };
    /// Tasks started on capacity reserved for another job.
    uint64_t backfilledTasks { 0 };
    uint64_t preemptedTasks { 0 };
    uint64_t refusedJobs { 0 };
    uint64_t startedGangs { 0 };
    uint64_t reservations { 0 };
    /// Run time lost by Preempt decisions, summed over the stopped tasks.
    Duration lostWork { 0 };
};

} // namespace hickoryknot
