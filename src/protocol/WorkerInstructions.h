#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// Start one task. Valid only while the lease of the answer that carries it holds.
struct StartTask {
    TaskId task;
    uint64_t epoch { 0 };
    JobId job;
    std::string command;
    Resources resources;
    /// Lease of this task, counted by the worker from the moment it sent the heartbeat.
    Duration lease { 0 };
};

/// Stop one task, writing a checkpoint first if asked.
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

/// The zone leader's answer to a worker's heartbeat.
struct WorkerInstructions {
    uint64_t term { 0 };
    /// Grows with each answer of one leader to one worker; the worker returns it as `lastSequence`.
    uint64_t sequence { 0 };
    std::vector<StartTask> start;
    std::vector<StopTask> stop;
    std::vector<RenewLease> renew;
    /// Ended tasks that are recorded and need not be reported again.
    std::vector<TaskId> acknowledged;
};

} // namespace hickoryknot
