#pragma once

#include <functional>

#include "core/Error.h"
#include "workflow/WorkerOrders.h"

namespace hickoryknot {

/// Carries orders to workers. Each completion runs once, later, on the thread of the caller; every call has a time
/// limit of its own.
class WorkerLink {
public:
    virtual ~WorkerLink() = default;

    using OrderCompletion = std::function<void(workflow::OrderAnswer)>;
    /// Conflict: another life of the worker answered. Any other error: no answer.
    using LookCompletion = std::function<void(Expected<workflow::LookAnswer>)>;

    virtual void start(const workflow::StartOrder&, OrderCompletion) = 0;
    virtual void stop(const workflow::StopOrder&, OrderCompletion) = 0;
    virtual void look(const workflow::LookOrder&, LookCompletion) = 0;
};

} // namespace hickoryknot
