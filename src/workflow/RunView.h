#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "workflow/StepSpec.h"
#include "workflow/WorkerClock.h"
#include "workflow/WorkerIncarnation.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// What the leader knows of one placed run. Soft state.
struct RunView {
    enum class Phase : uint8_t {
        Proposed, // Its record is not committed yet: nothing may be sent.
        Unsent,
        Sent, // A start was sent and not confirmed; the run may or may not be there.
        Confirmed, // The worker has said that the run is, or was, there.
        Stopping, // To be stopped; the stop is not confirmed yet.
        Stopped, // The stop is confirmed; the end will be listed, unless the run never got there.
        Ended, // The end is being recorded.
    };

    RunRef run;
    WorkerIncarnation life;
    Phase phase { Phase::Proposed };
    bool isGang { false };
    uint32_t priority { 0 }; // Of its queue; higher numbers yield to lower ones.
    bool isInherited { false }; // Placed by an earlier leader and not yet seen by this one.
    bool hasUnanswered { false }; // A start went without an answer and may yet be carried out.
    /// The run has a permission, which holds for one life: no later life of the worker takes its start.
    bool isTiedToLife { false };
    /// A start went without an answer at some time, so a later life under the same id may yet carry it out.
    bool hasLooseStart { false };
    bool isCallInFlight { false };
    bool isStopWanted { false };
    std::string permit;
    std::optional<WorkerClockMs> leaseUntil; // Of the latest start; missing until one was sent.
    TimePoint nextTry;
    /// When the answer to a start or stop, or a list with the run, came in. Looks that were sent later must list the
    /// run, if it is there; earlier ones may have overtaken the order on their way to the worker.
    std::optional<TimePoint> presentSince;
    /// Latest progress that the worker has listed.
    std::string checkpoint;
    uint32_t percent { 0 };
    TimePoint startedAt;
    TimePoint progressAt; // When the percentage last changed.
    StepSpec spec; // Size and rules of the step, for the time after the workflow has ended.

    bool mayReachNextLife() const { return !isTiedToLife && (hasLooseStart || isCallInFlight); }
    bool maySend() const { return phase != Phase::Proposed && phase != Phase::Ended; }
};

} // namespace hickoryknot::workflow
