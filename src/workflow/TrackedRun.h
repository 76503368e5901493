#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "workflow/RunOutcome.h"
#include "workflow/StepSpec.h"
#include "workflow/WorkerClock.h"
#include "workflow/WorkerIncarnation.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// The leader's soft state of one placed run.
struct TrackedRun {
    enum class Phase : uint8_t {
        Proposed, // The placement is not committed yet; nothing may be sent.
        Unsent,
        Sent, // A start was sent but not confirmed; the run may or may not exist.
        Confirmed, // The worker has reported that the run exists or existed.
        Stopping, // A stop is required but not confirmed yet.
        Stopped, // The stop is confirmed; the worker will report the end unless the run never started.
        Ended, // The end is being committed.
    };

    RunRef run;
    WorkerIncarnation incarnation;
    Phase phase { Phase::Proposed };
    bool isGang { false };
    bool isSuspect { false }; // See TaskRecord::isSuspect().
    uint32_t priority { 0 }; // Priority of the queue; higher numbers are preempted first.
    bool isInherited { false }; // Placed by an earlier leader and not yet reported to this one.
    bool wasSeenRunning { false }; // The worker acknowledged the start or listed the run.
    /// Set while it is not known whether the run is on a later incarnation than the one that it was sent to: its
    /// outcome unless it is, or was, there.
    std::optional<RunOutcome> outcomeOfLostWorker;
    bool hasUnacknowledgedStart { false }; // A start is unacknowledged and may still be executed.
    /// Longest delay after which a worker executes a start of this run; at most the validity of its permission token.
    Duration maxExecutionDelay { 0 };
    /// Some start was unacknowledged. Requests name the worker and not its incarnation, and a token may have been
    /// granted to the next incarnation, so until this time the run may occupy the addressed incarnation or any later
    /// one.
    std::optional<TimePoint> unacknowledgedUntil;
    /// When a start was acknowledged by a response that may have come from a later incarnation than the addressed one.
    std::optional<TimePoint> unattributedSince;
    uint32_t callsInFlight { 0 }; // Starts or stops without a response; several if a response is overdue.
    bool isStopRequested { false };
    std::string permissionToken;
    std::optional<WorkerClockMs> leaseUntil; // Lease end of the latest start; missing until one was sent.
    TimePoint sentAt; // When the latest start or stop was sent.
    TimePoint nextAttemptAt;
    /// When the response to a start or stop, or a report with the run, was received. Polls sent later must list the run
    /// if it exists; earlier polls may have overtaken the request on their way to the worker.
    std::optional<TimePoint> confirmedAt;
    /// Latest checkpoint that the worker has reported.
    std::string checkpoint;
    uint32_t percent { 0 };
    TimePoint startedAt;
    TimePoint lastProgressAt; // When `percent` last changed.
    StepSpec spec; // Copy of the step, which outlives the workflow's record.
    OrganisationName organisation; // Of the workflow's record, which this outlives as well.

    // What the run time model needs; see FinishedRun.
    /// Expected run time on this worker, or on the slowest one of the gang. Missing: only the declared estimate is
    /// known.
    std::optional<Duration> learnedRunTime;
    std::optional<TimePoint> firstSentAt; // When the first start was sent.
    /// When a response to this leader's start, sent to the current incarnation, was received. Missing if the run may
    /// have started at another time.
    std::optional<TimePoint> acknowledgedAt;
    TimePoint endedAt; // When the end was received or detected.
    bool isResumed { false }; // Started from a checkpoint.

    Duration expectedRunTime() const { return learnedRunTime.value_or(spec.estimatedRunTime); }

    /// A start without an acknowledgement may be executed now or later, by any incarnation from the addressed one on.
    /// Only a confirmed stop or the time excludes it.
    bool mayStartLate(TimePoint now) const
    {
        return callsInFlight || (unacknowledgedUntil && now < *unacknowledgedUntil);
    }
    bool maySend() const { return phase != Phase::Proposed && phase != Phase::Ended; }
};

} // namespace hickoryknot::workflow
