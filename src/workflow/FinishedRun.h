#pragma once

#include <vector>

#include "core/Time.h"
#include "workflow/WorkKind.h"
#include "workflow/WorkerIncarnation.h"

namespace hickoryknot::workflow {

/// What an ended run tells about its kind of work and its worker.
struct FinishedRun {
    WorkKind kind;
    /// Where it ran. A gang has several: it ends with its slowest member and is no sample of any worker's speed.
    std::vector<WorkerIncarnation> workers;
    /// The caller's estimate, and the time from the start to the end.
    Duration declared { 0 };
    Duration ran { 0 };
    /// False for a run that was stopped, lost or broken: it would have taken longer than `ran`.
    bool isComplete { true };
};

} // namespace hickoryknot::workflow
