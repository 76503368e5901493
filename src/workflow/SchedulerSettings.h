#pragma once

#include "core/Time.h"

namespace hickoryknot::workflow {

/// Times of the scheduler of workflows. The bounds of the platform override the first group.
struct SchedulerSettings {
    /// Longest lease that a worker keeps; longer ones are shortened to it.
    Duration maxLease { 10s };
    /// Members of a gang give up when the others are missing for this long.
    Duration gangStartTimeout { 3s };

    /// A worker that has not been heard for this long gets no new work: two missed heartbeats of 1.5 s and some delay.
    Duration contactTimeout { 4s };
    /// A worker that leaves a start without an answer for this long gets no more until it answers: many times the round
    /// trip, and still a fraction of the call's time limit.
    Duration answerPatience { 150ms };
    /// Longest wait of a look for the next end. Longer waits need fewer looks but notice a silent worker later.
    Duration lookWait { 1s };
    /// Pause before a call that failed is repeated; several times the round trip within a region.
    Duration retryPause { 150ms };
    /// Margin for the way of an order to the worker before a permission expires.
    Duration permitMargin { 250ms };
    /// Members of a gang that did not all confirm are stopped this long before gangPatience ends: one call and its
    /// repetition.
    Duration gangMargin { 1200ms };
    /// Added to the end of a lease before its runs count as over; covers the rounding to milliseconds.
    Duration leaseMargin { 100ms };
    /// Records of ended workflows are kept this long, beyond the time for which callers may ask.
    Duration endedWorkflowRetention { 150s };
};

} // namespace hickoryknot::workflow
