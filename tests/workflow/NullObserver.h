#pragma once

#include "workflow/SchedulerObserver.h"

namespace hickoryknot::workflow {

/// Ignores all decisions.
class NullObserver final : public SchedulerObserver {
    void onTasksPlaced(const StepRef&, size_t, size_t, Duration, Duration) override { }
    void onStopRequested(const RunRef&, const char*) override { }
    void onRunMoved(const RunRef&, const WorkerIncarnation&, bool) override { }
    void onRunEnded(const RunRef&, const WorkerIncarnation&, RunOutcome) override { }
    void onWorkflowEnded(const WorkflowRecord&, Duration) override { }
};

} // namespace hickoryknot::workflow
