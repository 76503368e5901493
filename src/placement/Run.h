#pragma once

#include "core/Resources.h"
#include "core/Time.h"
#include "placement/Indices.h"
#include "placement/WaitCause.h"

namespace hickoryknot {

/// A task placed on a worker, with the details that explain() reports.
struct Run {
    JobIndex job { noIndex };
    uint32_t task { 0 };
    WorkerIndex worker { noIndex };
    RunIndex previous { noIndex };
    RunIndex next { noIndex };
    Resources need;
    TimePoint startedAt;
    /// From the declared or measured run time; TimePoint::max() for services.
    TimePoint expectedEnd { TimePoint::max() };
    Millicores used;
    bool isStopping { false };

    // Details of the placement decision.
    const char* reason { "" };
    Resources freeBefore;
    Duration waited { 0 };
    WaitCause waitCause { WaitCause::QueueOrder };
    uint32_t otherTasksInRack { 0 };
    uint32_t comparedCount { 0 };
};

} // namespace hickoryknot
