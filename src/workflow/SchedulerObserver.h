#pragma once

#include <cstddef>

#include "core/Time.h"
#include "workflow/RunOutcome.h"
#include "workflow/WorkerIncarnation.h"
#include "workflow/WorkflowRecord.h"

namespace hickoryknot::workflow {

/// Observes the scheduler's decisions for logging and metrics. Must not call back into the scheduler.
class SchedulerObserver {
public:
    virtual ~SchedulerObserver() = default;

    /// Tasks of a step are being placed on workers. `waited` is the time since the step became ready, `slack` the time
    /// left until its latest start.
    virtual void onTasksPlaced(const StepRef&, size_t tasks, size_t workers, Duration waited, Duration slack) = 0;
    /// An unfinished run is stopped, because of preemption or because it is no longer wanted.
    virtual void onStopRequested(const RunRef&, const char* reason) = 0;
    /// A worker started again, and its new incarnation may have the run. It is stopped there unless the start was
    /// acknowledged, in which case the incarnation's list of runs decides.
    virtual void onRunMoved(const RunRef&, const WorkerIncarnation& to, bool isStopped) = 0;
    virtual void onRunEnded(const RunRef&, const WorkerIncarnation&, RunOutcome) = 0;
    /// A workflow has reached its final state, `age` after its acceptance.
    virtual void onWorkflowEnded(const WorkflowRecord&, Duration age) = 0;
};

} // namespace hickoryknot::workflow
