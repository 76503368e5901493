#pragma once

#include <cstddef>

#include "core/Time.h"
#include "workflow/RunOutcome.h"
#include "workflow/WorkerIncarnation.h"
#include "workflow/WorkflowRecord.h"

namespace hickoryknot::workflow {

/// Hears of the scheduler's decisions, for logs and figures. Must not call back.
class SchedulerObserver {
public:
    virtual ~SchedulerObserver() = default;

    /// Tasks of a step are being recorded on workers; `waited` since the step was ready, `slack` until it would have
    /// been too late.
    virtual void onTasksPlaced(const StepRef&, size_t tasks, size_t workers, Duration waited, Duration slack) = 0;
    /// A run that was not done is told to stop, to make room or because it is not wanted any more.
    virtual void onStopRequested(const RunRef&, const char* reason) = 0;
    virtual void onRunEnded(const RunRef&, const WorkerIncarnation&, RunOutcome) = 0;
    /// A workflow has its final state, `age` after its acceptance.
    virtual void onWorkflowEnded(const WorkflowRecord&, Duration age) = 0;
};

} // namespace hickoryknot::workflow
