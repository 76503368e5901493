#pragma once

#include <functional>

#include "core/Error.h"
#include "workflow/WorkerRequests.h"

namespace hickoryknot {

/// Sends requests to workers. Each completion runs once, asynchronously, on the caller's thread. The implementation
/// sets the timeout of each call.
class WorkerClient {
public:
    virtual ~WorkerClient() = default;

    using RequestCompletion = std::function<void(workflow::RunResponse)>;
    /// Error Conflict: another worker responded at the address. Any other error: no response.
    using PollCompletion = std::function<void(Expected<workflow::PollResponse>)>;

    virtual void start(const workflow::StartRunRequest&, RequestCompletion) = 0;
    virtual void stop(const workflow::StopRunRequest&, RequestCompletion) = 0;
    virtual void poll(const workflow::PollRequest&, PollCompletion) = 0;
};

} // namespace hickoryknot
