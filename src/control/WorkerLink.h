#pragma once

#include <functional>

#include "core/Error.h"
#include "workflow/WorkerOrders.h"

namespace hickoryknot {

/// Sends requests to workers. Each completion runs once, asynchronously, on the caller's thread. The implementation
/// sets the timeout of each call.
class WorkerLink {
public:
    virtual ~WorkerLink() = default;

    using OrderCompletion = std::function<void(workflow::OrderAnswer)>;
    /// Error Conflict: another incarnation of the worker responded. Any other error: no response.
    using LookCompletion = std::function<void(Expected<workflow::LookAnswer>)>;

    virtual void start(const workflow::StartOrder&, OrderCompletion) = 0;
    virtual void stop(const workflow::StopOrder&, OrderCompletion) = 0;
    virtual void look(const workflow::LookOrder&, LookCompletion) = 0;
};

} // namespace hickoryknot
