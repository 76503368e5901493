#pragma once

#include <functional>

#include "core/Error.h"
#include "workflow/WorkerRequests.h"

namespace hickoryknot {

/// Carries orders to workers. Each completion runs once, later, on the thread of the caller; every call has a time
/// limit of its own.
class WorkerClient {
public:
    virtual ~WorkerClient() = default;

    using RequestCompletion = std::function<void(workflow::RunResponse)>;
    /// Conflict: another life of the worker answered. Any other error: no answer.
    using PollCompletion = std::function<void(Expected<workflow::PollResponse>)>;

    virtual void start(const workflow::StartRunRequest&, RequestCompletion) = 0;
    virtual void stop(const workflow::StopRunRequest&, RequestCompletion) = 0;
    virtual void poll(const workflow::PollRequest&, PollCompletion) = 0;
};

} // namespace hickoryknot
