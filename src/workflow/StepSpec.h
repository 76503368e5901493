#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot::workflow {

/// A step of a workflow: identical tasks and their scheduling constraints.
struct StepSpec {
    uint32_t count { 1 };
    Resources perTask;
    /// The caller's rough estimate of one task's run time; may be far off.
    Duration estimatedRunTime { 0 };
    /// Earlier steps whose tasks must all be done first.
    std::vector<uint32_t> dependencies;
    /// Tasks report checkpoints from which a later run can resume.
    bool isCheckpointing { false };
    /// All tasks run at the same time with the same run number and end together.
    bool isGang { false };
    /// Tasks are slower when they are spread over more than one rack.
    bool prefersOneRack { false };
    /// Label that a worker must have; empty: any worker.
    std::string requiredLabel;
    /// Rack that holds the data; tasks run slower on other racks. Empty: none.
    RackId dataRack;
    /// Maximum number of tasks of one occurrence of the step on one worker; 0: no limit.
    uint32_t maxPerWorker { 0 };
    /// Speculative copies of a task are allowed; the scheduler may start them, but need not.
    bool allowsSpeculativeRuns { false };
    /// Tasks run until the workflow is cancelled and are restarted whenever they end.
    bool isLongRunning { false };
    std::string image;
    /// Response time target of a long-running task; zero: none.
    Duration latencyTarget { 0 };
    /// Tasks use only spare processor time: their processors are not allocated from a worker's capacity.
    bool usesSpareCapacity { false };
    /// Maximum number of tasks of a long-running step that planned actions may make unavailable at the same time; zero:
    /// none is protected.
    uint32_t maxUnavailable { 0 };

    friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

} // namespace hickoryknot::workflow
