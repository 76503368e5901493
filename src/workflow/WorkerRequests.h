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

/// Tells a worker to start a run. Repeating it changes nothing while the run is there.
struct StartRunRequest {
    WorkerIncarnation incarnation;
    RunRef run;
    std::string command;
    std::string checkpoint; // Empty: from the beginning.
    std::string permissionToken; // Empty: none is needed.
    WorkerClockMs leaseUntil { 0 };
    uint64_t fence { 0 };
};

struct StopRunRequest {
    WorkerIncarnation incarnation;
    RunRef run;
    uint64_t fence { 0 };
};

/// Asks a worker what runs and what has ended, renews its lease and confirms recorded ends.
struct PollRequest {
    WorkerIncarnation incarnation;
    uint64_t fence { 0 };
    uint64_t lastRecordedEnd { 0 }; // Ends up to this number are recorded; the worker forgets them.
    std::optional<WorkerClockMs> leaseUntil; // Missing until a first answer has shown the worker's clock.
    Duration maxWait { 0 }; // The worker answers at the next end, at the latest after this time.
};

/// What a worker said to a start or stop.
enum class WorkerRequestStatus : uint8_t {
    Done,
    Fenced, // The worker has seen a higher fencing token.
    Outdated, // This run, or a later one, has ended or was stopped there.
    LeaseExpired, // The lease had run out on arrival.
    NoCapacity,
    NoPermission, // The permission is missing or has expired.
    Unhealthy, // The worker does nothing at present.
    WrongIncarnation, // Another life of the worker answered; it did nothing.
    Invalid,
    NoResponse, // May have been carried out, or may yet be.
    NotSent, // Surely not carried out.
};

const char* workerRequestStatusName(WorkerRequestStatus);

struct RunResponse {
    WorkerRequestStatus status { WorkerRequestStatus::NoResponse };
    std::optional<WorkerClockMs> clock;
    /// Start of the life that answered; missing if the answer did not tell.
    std::optional<int64_t> startTimeMs;
};

/// One run that a worker lists as present.
struct ReportedRun {
    RunRef run;
    std::string checkpoint;
    uint32_t percent { 0 }; // Progress; of a long-running task the share at which it works.
    int64_t load { 0 }; // Processors in use in thousandths, or the tail of response times in ms.
};

/// One end that a worker lists.
struct ReportedEnd {
    uint64_t number { 0 }; // Ascending within a life.
    RunRef run;
    RunOutcome outcome { RunOutcome::Lost };
    std::string checkpoint;
};

struct PollResponse {
    WorkerClockMs clock { 0 };
    std::optional<int64_t> startTimeMs;
    std::vector<ReportedRun> running;
    std::vector<ReportedEnd> ended;
};

} // namespace hickoryknot::workflow
