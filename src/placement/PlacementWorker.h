#pragma once

#include "core/Resources.h"
#include "core/Time.h"
#include "placement/Indices.h"
#include "placement/PlacementFailureScore.h"

namespace hickoryknot {

/// State of one worker inside the engine.
struct PlacementWorker {
    Resources capacity;
    /// Capacity minus declared sizes of its tasks; below zero after adopting tasks of a worker that shrank.
    Resources free;
    /// Reserved for gangs and overdue or urgent tasks, out of what is or becomes free.
    Resources held;
    /// The part of `held` that is reserved for urgent tasks.
    Resources heldUrgent;
    /// Reservations on this worker may lend capacity to work that ends before this.
    TimePoint holdDue { TimePoint::max() };
    RackIndex rack { 0 };
    RunIndex firstRun { noIndex };
    uint32_t runs { 0 };
    /// Sum of the measured processor use of its tasks.
    Millicores used;
    PlacementFailureScore failures;
    /// The job whose failure counted last; its next failures here say little more.
    JobIndex lastFailedJob { noIndex };
    TimePoint nextProbeAt;
    Duration probeDelay { 0 };
    bool isKnown { false };
    bool isLeaving { false };
    bool isOnProbation { false };
    /// Blocked jobs were told that the worker takes a probe.
    bool isProbeOffered { false };

    /// Takes new tasks other than probes.
    bool isOpen() const { return isKnown && !isLeaving && !isOnProbation; }
    /// Free and not reserved.
    Resources open() const { return free - held; }
};

} // namespace hickoryknot
