#pragma once

#include <cstdint>

#include "core/Time.h"

namespace hickoryknot {

/// Switches for the main mechanisms. All are on in production; measurements switch them off one at a time.
struct PlacementMechanisms {
    /// Batch goes to the tightest of the fitting workers; off: to the first one that fits.
    bool usesBestFit { true };
    /// Measured run times and sizes order and pack; off: declared values only.
    bool learnsEstimates { true };
    /// Rows go by urgency, priority and weighted share; off: by time of submission over all rows.
    bool ordersRows { true };
    /// Rows whose oldest job is overdue get one start in four.
    bool agesRows { true };
    /// Workers that fail everything get probe tasks only, and failing jobs wait longer between tries.
    bool scoresFailures { true };
    /// Gang jobs and overdue tasks reserve capacity; off: they start only when they happen to fit.
    bool reservesCapacity { true };
    /// Reserved capacity is lent to work expected to end before the reservation is due.
    bool backfillsReservations { true };
    /// Work without accelerators leaves processors and memory next to free accelerators alone.
    bool protectsAccelerators { true };
    /// Preemptible work is stopped for urgent work.
    bool preemptsForUrgent { true };
};

/// Settings of one PlacementEngine, fixed for its life.
struct PlacementSettings {
    uint64_t seed { 1 };
    /// Urgent work that would start later than this makes room by stopping preemptible work.
    Duration urgentBound { 8s };
    /// Workers must have been known this long before a job is refused for being larger than all of them, because
    /// workers announce themselves one by one after a change of leader.
    Duration refusalGrace { 10s };
    /// A repeatable batch task that failed this often through no fault of its worker is not tried again.
    uint32_t maxTaskFailures { 4 };
    PlacementMechanisms mechanisms {};
};

} // namespace hickoryknot
