#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "workflow/WorkerRequests.h"

namespace hickoryknot {

/// Requests to workers that the leader sends to a worker proxy in one message. Responses refer to the request id.
struct WorkerRequestBatch {
    struct Start {
        uint64_t requestId { 0 };
        workflow::StartRunRequest request; // The command is sent separately.
        uint32_t commandIndex { 0 }; // Into `commands`, since the tasks of a step share one command.
    };
    struct Stop {
        uint64_t requestId { 0 };
        workflow::StopRunRequest request;
    };
    struct Poll {
        uint64_t requestId { 0 };
        workflow::PollRequest request;
    };

    HostId leader;
    uint64_t fence { 0 };
    std::vector<std::string> commands;
    std::vector<Start> starts;
    std::vector<Stop> stops;
    std::vector<Poll> polls;

    bool isEmpty() const { return starts.empty() && stops.empty() && polls.empty(); }
};

/// Responses of workers to the requests of one leader.
struct WorkerResponseBatch {
    struct RunResult {
        uint64_t requestId { 0 };
        workflow::RunResponse response;
    };
    struct PollResult {
        uint64_t requestId { 0 };
        workflow::PollResponse response;
    };
    struct PollFailure {
        uint64_t requestId { 0 };
        Error error;
    };

    HostId proxy;
    uint64_t fence { 0 };
    std::vector<RunResult> runResults;
    std::vector<PollResult> pollResults;
    std::vector<PollFailure> pollFailures;

    bool isEmpty() const { return runResults.empty() && pollResults.empty() && pollFailures.empty(); }
};

std::string encodeWorkerRequests(const WorkerRequestBatch&);
/// Error Corrupt: the bytes are not a valid message of this kind.
Expected<WorkerRequestBatch> decodeWorkerRequests(std::string_view);

std::string encodeWorkerResponses(const WorkerResponseBatch&);
/// Error Corrupt: the bytes are not a valid message of this kind.
Expected<WorkerResponseBatch> decodeWorkerResponses(std::string_view);

} // namespace hickoryknot
