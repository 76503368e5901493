#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// Starts one task. Valid only until its lease expires.
struct StartTask {
    TaskId task;
    uint64_t epoch { 0 };
    JobId job;
    std::string command;
    Resources resources;
    /// Lease of this task, measured by the worker from when it sent the heartbeat.
    Duration lease { 0 };
};

/// Stops one task, after writing a checkpoint if `checkpoint` is set.
struct StopTask {
    TaskId task;
    uint64_t epoch { 0 };
    bool checkpoint { false };
};

/// Renews the lease of one running task.
struct RenewLease {
    TaskId task;
    uint64_t epoch { 0 };
    Duration lease { 0 };
};

/// Response of the zone leader to a worker heartbeat.
struct WorkerInstructions {
    uint64_t term { 0 };
    /// Incremented by each response of one leader to one worker; the worker returns it as `lastSequence`.
    uint64_t sequence { 0 };
    std::vector<StartTask> start;
    std::vector<StopTask> stop;
    std::vector<RenewLease> renew;
    /// Ended tasks that are committed and need not be reported again.
    std::vector<TaskId> acknowledged;
};

} // namespace hickoryknot
