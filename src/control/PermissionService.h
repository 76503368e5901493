#pragma once

#include <functional>

#include "control/PermissionCall.h"

namespace hickoryknot {

/// Tells which workers a policy allows to run a step.
class PermissionService {
public:
    virtual ~PermissionService() = default;

    /// Overloaded: too many calls wait there. Any other error: no answer. The completion runs once, later, on the
    /// thread of the caller.
    using Completion = std::function<void(Expected<workflow::PermissionResponse>)>;
    virtual void requestPermissions(const PermissionCall&, Completion) = 0;
};

} // namespace hickoryknot
