#pragma once

#include <cstdint>

#include "state/RequestTime.h"

namespace hickoryknot {

enum class TaskPhase : uint8_t {
    Queued,
    Assigned, // May run on `worker` under assignment `epoch`.
    Finished,
    Failed, // Will not be retried.
};

/// How an assignment ended.
enum class TaskResult : uint8_t {
    Finished, // Exit code 0.
    Failed, // Another exit code.
    Lost, // The lease ran out or the worker restarted, and the task may have run.
    Preempted, // Stopped for other work after it ran.
    NeverStarted, // Known not to have run.
    Stopped, // Stopped because the job was cancelled or moved.
};

/// One task of a job in a zone.
struct TaskRecord {
    /// Epoch of the assignment, unique in the zone and increasing; 0 before the first.
    uint64_t epoch { 0 };
    UnixMs sinceMs { 0 };
    /// Index into ZoneState::workers().
    uint32_t worker { 0 };
    int32_t exitCode { 0 };
    uint16_t failures { 0 };
    uint16_t losses { 0 };
    TaskPhase phase { TaskPhase::Queued };
    /// True once an assignment ended with any other result than NeverStarted.
    bool mayHaveRun { false };
};

} // namespace hickoryknot
