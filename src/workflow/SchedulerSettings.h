#pragma once

#include "core/Time.h"

namespace hickoryknot::workflow {

/// Timing settings of the workflow scheduler. The platform's bounds override the first group.
struct SchedulerSettings {
    /// Maximum lease that workers accept; they shorten longer ones.
    Duration maxLease { 10s };
    /// Lease on workers with long-running tasks. Such a task must run again within 9 s after the loss of its worker,
    /// and must outlive a partition of 6 s.
    Duration longRunningLease { 8s };
    /// Members of a gang give up if the others are missing for this long.
    Duration gangStartTimeout { 3s };

    /// A worker without contact for this long gets no new work; covers two missed heartbeats of 1.5 s and some delay.
    Duration contactTimeout { 4s };
    /// A worker whose last heartbeat is older gets no new starts, because its capacity may have shrunk since.
    Duration maxProfileAge { 4s };
    /// A worker that does not respond to a start for this long gets no further ones until it responds. Many round
    /// trips, but still a fraction of the call's timeout.
    Duration startResponseTimeout { 150ms };
    /// Maximum long-poll wait for the next end. Longer waits need fewer polls but detect a silent worker later.
    Duration pollWait { 1s };
    /// The same while workers leave some requests unanswered. An end is unknown until the next poll that is answered.
    Duration lossyPollWait { 200ms };
    /// Delay before a failed call is retried; several round trips within a region.
    Duration retryDelay { 150ms };
    /// Margin for the transmission of a request before a permission token expires.
    Duration permissionExpiryMargin { 250ms };
    /// Incomplete gangs are stopped this long before gangStartTimeout expires; covers one call and its retry.
    Duration gangStopMargin { 1200ms };
    /// Added to the end of a lease before its runs count as lost; covers the rounding to milliseconds.
    Duration leaseMargin { 100ms };
    /// Minimum retention of ended workflows, longer than the time for which callers may query them.
    Duration endedWorkflowRetention { 150s };
    /// Longest time for which a submission can be on its way after its caller has given it up. Ended workflows and
    /// cancellations of unknown ones are kept for at least this long, so that it finds them. docs/workflows.md, "Late
    /// submissions", adds up where it can lie.
    Duration lateSubmissionTime { 300s };
    /// Decisions use run times and worker speeds that are learned from finished runs; see RunTimeModel. If false, they
    /// use the declared estimates, and all workers count as equally fast.
    bool learnsRunTimes { true };
};

} // namespace hickoryknot::workflow
