#pragma once

#include <cstdint>
#include <vector>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// A task that is running on the worker.
struct RunningTask {
    TaskId task;
    /// Assignment epoch from the StartTask instruction.
    uint64_t epoch { 0 };
    Resources used;
};

/// A task that ended on a worker; repeated in every heartbeat until it is acknowledged.
struct EndedTask {
    TaskId task;
    uint64_t epoch { 0 };
    int exitCode { 0 };
    Duration runTime { 0 };
};

/// Status of a worker. Sent at least once a second; the response renews the leases of its running tasks.
struct WorkerHeartbeat {
    WorkerId worker;
    /// Incremented by each start of the worker process; tasks of an older incarnation no longer run.
    uint64_t incarnation { 0 };
    ZoneId zone;
    RackId rack;
    Resources capacity;
    /// Term of the last response that the worker received.
    uint64_t term { 0 };
    /// `sequence` of the last response that the worker received in `term`; 0 if none. Proves that this heartbeat was
    /// sent after that response.
    uint64_t lastSequence { 0 };
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    bool isLeaving { false };
    /// Long poll: how long the response may be delayed while there are no instructions.
    Duration wait { 0 };
};

} // namespace hickoryknot
