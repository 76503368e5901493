#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <vector>

#include "core/Time.h"
#include "workflow/Queue.h"
#include "workflow/StepSpec.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// A step with tasks that may start now. Gangs are ready only as a whole.
struct ReadyStep {
    StepRef ref;
    const StepSpec* spec { nullptr }; // Points into the workflow's record; replaced whenever the workflow changes.
    OrganisationName organisation; // Empty: none.
    /// Position of the organisation in the table; set in each planning pass, because a look-up costs more than the
    /// other decisions about a step that waits.
    uint32_t organisationPosition { std::numeric_limits<uint32_t>::max() };
    Queue queue; // Current row of the queue table, or its last one if the queue was removed.
    struct Task {
        uint32_t index { 0 };
        uint32_t nextRun { 1 };
    };
    std::vector<Task> tasks;
    /// False while the acceptance of the workflow is being committed: nothing may start, but permissions may be
    /// requested.
    bool isAccepted { true };
    /// A task of the same occurrence has been placed or is done; see StepOrder.
    bool isBegun { false };
    /// A worker has crashed under one of the tasks.
    bool isSuspect { false };
    /// Time by which the workflow must end to meet its objective, and time after which its result has no value.
    TimePoint deadline;
    TimePoint expiresAt;
    /// Estimated run time from the start of this step to the end of the workflow.
    Duration criticalPath { 0 };
    /// Learned run time of one task on a worker of speed 1. Missing: only the declared estimate is known.
    std::optional<Duration> learnedRunTime;
    TimePoint readySince;
    /// Workers on which a run of the step has failed. They are avoided for some time, because they may have caused the
    /// failure.
    std::set<WorkerId> avoidedWorkers;

    /// Latest start with which the workflow can still meet its deadline.
    TimePoint latestStart() const { return deadline - criticalPath; }
    /// Expected run time of one task on a worker of speed 1.
    Duration runTime() const { return learnedRunTime.value_or(spec->estimatedRunTime); }
};

} // namespace hickoryknot::workflow
