#pragma once

#include "core/Resources.h"
#include "core/Time.h"
#include "placement/Indices.h"
#include "placement/WaitCause.h"

namespace hickoryknot {

/// A task on a worker, with what explain() needs to say why it is there.
struct Run {
    JobIndex job { noIndex };
    uint32_t task { 0 };
    WorkerIndex worker { noIndex };
    RunIndex previous { noIndex };
    RunIndex next { noIndex };
    Resources need;
    TimePoint startedAt;
    /// By declared and learned run time; TimePoint::max() for services.
    TimePoint expectedEnd { TimePoint::max() };
    Millicores used;
    bool isStopping { false };

    // Record of the decision.
    const char* reason { "" };
    Resources openBefore;
    Duration waited { 0 };
    WaitCause waitedFor { WaitCause::Turn };
    uint32_t othersInRack { 0 };
    uint32_t comparedWorkers { 0 };
};

} // namespace hickoryknot
