#pragma once

#include <cstdint>

#include "core/Time.h"

namespace hickoryknot {

/// Switches for the main mechanisms. All are on in production; the benchmarks turn them off one at a time.
struct PlacementMechanisms {
    /// Batch tasks go to the best fitting worker. Off: to the first one that fits.
    bool usesBestFit { true };
    /// Measured run times and sizes are used for ordering and packing. Off: declared values only.
    bool learnsEstimates { true };
    /// Rows are ordered by urgency, priority and weighted share. Off: by submission order over all rows.
    bool ordersRows { true };
    /// Rows whose oldest job is past waitBoundMs get one start in four.
    bool agesRows { true };
    /// Workers with a high failure score only get probe tasks, and failing jobs are retried with a longer backoff.
    bool scoresFailures { true };
    /// Gangs and overdue tasks reserve capacity. Off: they start only when they happen to fit.
    bool reservesCapacity { true };
    /// Reserved capacity is backfilled with tasks that are expected to end before the reservation starts.
    bool backfillsReservations { true };
    /// A part of the processors and memory next to free accelerators is kept for tasks that need accelerators.
    bool protectsAccelerators { true };
    /// Preemptible tasks are stopped for urgent ones.
    bool preemptsForUrgent { true };
};

/// Settings of one PlacementEngine, fixed for its lifetime.
struct PlacementSettings {
    uint64_t seed { 1 };
    /// Urgent tasks must start within this time, if necessary by preempting preemptible ones.
    Duration urgentWaitBound { 8s };
    /// Workers must have been known for this long before a job is refused for being larger than all of them, because
    /// workers register one by one after a change of leader.
    Duration refusalGracePeriod { 10s };
    /// A repeatable batch task that failed this often, not counting failures on unreliable workers, is not
    /// retried.
    uint32_t maxTaskFailures { 4 };
    PlacementMechanisms mechanisms {};
};

} // namespace hickoryknot
