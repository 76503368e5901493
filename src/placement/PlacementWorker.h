#pragma once

#include "core/Resources.h"
#include "core/Time.h"
#include "placement/Indices.h"
#include "placement/PlacementFailureScore.h"

namespace hickoryknot {

/// Placement state of one worker.
struct PlacementWorker {
    Resources capacity;
    /// Capacity minus the declared sizes of its tasks. Negative after adopting tasks of a worker whose capacity shrank.
    Resources free;
    /// Capacity, free now or later, that is reserved for gangs and for overdue and urgent tasks.
    Resources reserved;
    /// The part of `reserved` that is for urgent tasks.
    Resources reservedUrgent;
    /// Backfilled tasks must be expected to end by this time.
    TimePoint backfillDeadline { TimePoint::max() };
    RackIndex rack { 0 };
    RunIndex firstRun { noIndex };
    uint32_t runs { 0 };
    /// Sum of the measured processor usage of its tasks.
    Millicores used;
    PlacementFailureScore failureScore;
    /// Job of the last counted failure; its next failures on this worker count less.
    JobIndex lastFailedJob { noIndex };
    TimePoint nextProbeAt;
    Duration probeDelay { 0 };
    bool isKnown { false };
    bool isLeaving { false };
    bool isOnProbation { false };
    /// Blocked jobs have been unblocked for the next probe.
    bool isProbeSignalled { false };

    /// True if the worker gets new tasks other than probes.
    bool acceptsTasks() const { return isKnown && !isLeaving && !isOnProbation; }
    /// Free capacity that isn't reserved.
    Resources unreserved() const { return free - reserved; }
};

} // namespace hickoryknot
