#pragma once

#include "core/Time.h"
#include "workflow/WorkKind.h"
#include "workflow/WorkerIncarnation.h"

namespace hickoryknot::workflow {

/// What an ended run tells about its kind of work and its worker.
struct FinishedRun {
    WorkKind kind;
    WorkerIncarnation worker;
    /// The caller's estimate, and the time from the start to the end.
    Duration declared { 0 };
    Duration ran { 0 };
    /// False for a run that was stopped, lost or broken: it would have taken longer than `ran`.
    bool isComplete { true };
};

} // namespace hickoryknot::workflow
