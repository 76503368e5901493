#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot::workflow {

/// A step of a workflow: equal tasks and the rules for where and when they run.
struct StepSpec {
    uint32_t count { 1 };
    Resources perTask;
    /// The caller's rough estimate of one task's run time; may be far off.
    Duration estimatedRunTime { 0 };
    /// Earlier steps whose tasks must all be done first.
    std::vector<uint32_t> dependencies;
    /// Tasks report checkpoints from which a later run can go on.
    bool isCheckpointing { false };
    /// All tasks run at the same time, under one run number, and end together.
    bool isGang { false };
    /// Tasks are slower when they are spread over more than one rack.
    bool prefersOneRack { false };
    /// Label that a worker must have; empty: any worker.
    std::string requiredLabel;
    /// Rack that holds the data; on other racks the tasks are slower. Empty: none.
    RackId dataRack;
    /// Tasks of one occurrence of the step on one worker; 0: no limit.
    uint32_t maxPerWorker { 0 };
    /// Several runs of a task may race. The scheduler may, but need not, start such copies.
    bool allowsSpeculativeRuns { false };
    /// Tasks run until the workflow is cancelled and are started again however they end.
    bool isLongRunning { false };
    std::string image;
    /// Bound of the response times of a long-running task; zero: none.
    Duration latencyTarget { 0 };
    /// Tasks use only processor time that others leave: their processors do not count against a worker's capacity.
    bool usesSpareCapacity { false };
    /// Tasks of a long-running step that planned actions may take away at the same time; zero with isLongRunning: none
    /// is guarded.
    uint32_t maxUnavailable { 0 };

    friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

} // namespace hickoryknot::workflow
