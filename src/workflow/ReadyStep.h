#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "core/Time.h"
#include "workflow/Queue.h"
#include "workflow/StepSpec.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// A step whose tasks may start now. Gangs are ready only as a whole.
struct ReadyStep {
    StepRef ref;
    const StepSpec* spec { nullptr }; // Of the record; replaced whenever the workflow changes.
    Queue queue; // The table's row as it is, or as it was when the queue was removed.
    struct Task {
        uint32_t index { 0 };
        uint32_t nextRun { 1 };
    };
    std::vector<Task> tasks;
    /// Moment at which the workflow must end to be in time, and at which its end is of no use any more.
    TimePoint dueAt;
    TimePoint uselessAt;
    /// Estimated run time from the start of this step to the end of the workflow.
    Duration chain { 0 };
    TimePoint readySince;
    /// Workers on which a run of the step has failed. They are left alone for a while, because the fault may be theirs.
    std::set<WorkerId> avoided;

    /// Latest start at which the workflow can still end in time.
    TimePoint latestStart() const { return dueAt - chain; }
};

} // namespace hickoryknot::workflow
