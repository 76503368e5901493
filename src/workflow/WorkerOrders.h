#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/Time.h"
#include "workflow/RunEnd.h"
#include "workflow/WorkerClock.h"
#include "workflow/WorkerLife.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Tells a worker to start a run. Repeating it changes nothing while the run is there.
struct StartOrder {
    WorkerLife life;
    RunRef run;
    std::string command;
    std::string checkpoint; // Empty: from the beginning.
    std::string permit; // Empty: none is needed.
    WorkerMs leaseUntil { 0 };
    uint64_t fence { 0 };
};

struct StopOrder {
    WorkerLife life;
    RunRef run;
    uint64_t fence { 0 };
};

/// Asks a worker what runs and what has ended, renews its lease and confirms recorded ends.
struct LookOrder {
    WorkerLife life;
    uint64_t fence { 0 };
    uint64_t recordedEnds { 0 }; // Ends up to this number are recorded; the worker forgets them.
    std::optional<WorkerMs> leaseUntil; // Missing until a first answer has shown the worker's clock.
    Duration wait { 0 }; // The worker answers at the next end, at the latest after this time.
};

/// What a worker said to a start or stop.
enum class OrderVerdict : uint8_t {
    Done,
    Fenced, // The worker has seen a higher fencing token.
    Outdated, // This run, or a later one, has ended or was stopped there.
    TooLate, // The lease had run out on arrival.
    NoRoom,
    NoPermit, // The permission is missing or has expired.
    Unhealthy, // The worker does nothing at present.
    WrongLife, // Another life of the worker answered; it did nothing.
    Invalid,
    NoAnswer, // May have been carried out, or may yet be.
    NotSent, // Surely not carried out.
};

const char* orderVerdictName(OrderVerdict);

struct OrderAnswer {
    OrderVerdict verdict { OrderVerdict::NoAnswer };
    std::optional<WorkerMs> clock;
    /// Start of the life that answered; missing if the answer did not tell.
    std::optional<int64_t> bornMs;
};

/// One run that a worker lists as present.
struct ListedRun {
    RunRef run;
    std::string checkpoint;
    uint32_t percent { 0 }; // Progress; of a long-running task the share at which it works.
    int64_t load { 0 }; // Processors in use in thousandths, or the tail of response times in ms.
};

/// One end that a worker lists.
struct ListedEnd {
    uint64_t number { 0 }; // Ascending within a life.
    RunRef run;
    RunEnd end { RunEnd::Lost };
    std::string checkpoint;
};

struct LookAnswer {
    WorkerMs clock { 0 };
    std::optional<int64_t> bornMs;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

} // namespace hickoryknot::workflow
