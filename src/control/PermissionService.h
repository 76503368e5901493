#pragma once

#include <functional>

#include "control/PermissionCall.h"

namespace hickoryknot {

/// Client of the service that decides which workers a policy permits to run a step.
class PermissionService {
public:
    virtual ~PermissionService() = default;

    /// Error Overloaded: the service's queue is full. Any other error: no response. The completion runs once,
    /// asynchronously, on the caller's thread.
    using Completion = std::function<void(Expected<workflow::PermissionResponse>)>;
    virtual void requestPermissions(const PermissionCall&, Completion) = 0;
};

} // namespace hickoryknot
