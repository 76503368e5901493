#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/Time.h"
#include "workflow/RunOutcome.h"
#include "workflow/WorkerClock.h"
#include "workflow/WorkerIncarnation.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Starts a run on a worker. Idempotent while the run exists.
struct StartRunRequest {
    WorkerIncarnation incarnation;
    RunRef run;
    std::string command;
    std::string checkpoint; // Empty: start from the beginning.
    std::string permissionToken; // Empty: no permission is required.
    WorkerClockMs leaseUntil { 0 };
    uint64_t fence { 0 };
};

struct StopRunRequest {
    WorkerIncarnation incarnation;
    RunRef run;
    uint64_t fence { 0 };
};

/// Polls a worker for running tasks and ends, renews its lease and confirms committed ends.
struct PollRequest {
    WorkerIncarnation incarnation;
    uint64_t fence { 0 };
    uint64_t lastRecordedEnd { 0 }; // Ends up to this number are committed; the worker drops them.
    std::optional<WorkerClockMs> leaseUntil; // Missing until a response has shown the worker's clock.
    Duration maxWait { 0 }; // The worker responds at the next end, but after this time at the latest.
    /// Sent besides the regular polls, to see whether the worker responds.
    bool isProbe { false };
};

/// Result of a start or stop request.
enum class WorkerRequestStatus : uint8_t {
    Done,
    Fenced, // The worker has seen a higher fencing token.
    Outdated, // This run or a later one of the task has ended or was stopped on the worker.
    LeaseExpired, // The lease had expired when the request arrived.
    NoCapacity,
    NoPermission, // The permission token is missing or has expired.
    Unhealthy, // The worker currently executes no requests.
    WrongIncarnation, // Another worker responded at the address; it did nothing.
    Invalid,
    NoResponse, // May have been executed, or may still be.
    NotSent, // Certainly not executed.
};

const char* workerRequestStatusName(WorkerRequestStatus);

struct RunResponse {
    WorkerRequestStatus status { WorkerRequestStatus::NoResponse };
    std::optional<WorkerClockMs> clock;
    /// Start time of the incarnation that responded; missing if not reported.
    std::optional<int64_t> startTimeMs;
};

/// A run that a worker reports as running.
struct ReportedRun {
    RunRef run;
    std::string checkpoint;
    uint32_t percent { 0 }; // Progress; for a long-running task, the utilisation.
    int64_t load { 0 }; // Processors in use in millicores, or the tail latency in milliseconds.
};

/// An ended run that a worker reports.
struct ReportedEnd {
    uint64_t number { 0 }; // Ascending within an incarnation.
    RunRef run;
    RunOutcome outcome { RunOutcome::Lost };
    std::string checkpoint;
};

struct PollResponse {
    WorkerClockMs clock { 0 };
    std::optional<int64_t> startTimeMs;
    std::vector<ReportedRun> running;
    std::vector<ReportedEnd> ended;
    /// The worker may hold further ends, which it lists once these are confirmed. A run that is in neither list may be
    /// among them.
    bool hasMoreEnds { false };
};

} // namespace hickoryknot::workflow
