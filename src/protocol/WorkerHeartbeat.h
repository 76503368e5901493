#pragma once

#include <cstdint>
#include <vector>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// A task that a worker runs at the moment it sends its heartbeat.
struct RunningTask {
    TaskId task;
    /// Assignment epoch of the start command that the worker followed.
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

/// What a worker says of itself. Sent at least once a second; the answer renews the leases of the tasks it runs.
struct WorkerHeartbeat {
    WorkerId worker;
    /// Grows with each start of the worker process; tasks of an older incarnation no longer run.
    uint64_t incarnation { 0 };
    ZoneId zone;
    RackId rack;
    Resources capacity;
    /// Term of the last answer that the worker received.
    uint64_t term { 0 };
    /// `sequence` of the last answer that the worker received in `term`; 0 if none. Proves that this heartbeat was sent
    /// after that answer was given.
    uint64_t lastSequence { 0 };
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    bool isLeaving { false };
    /// How long the answer may be held back while there is nothing to say.
    Duration wait { 0 };
};

} // namespace hickoryknot
