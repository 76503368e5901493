#pragma once

#include <functional>

#include "control/PermitCall.h"

namespace hickoryknot {

/// Tells which workers a policy allows to run a step.
class PermissionService {
public:
    virtual ~PermissionService() = default;

    /// Overloaded: too many calls wait there. Any other error: no answer. The completion runs once, later, on the
    /// thread of the caller.
    using Completion = std::function<void(Expected<workflow::PermitAnswer>)>;
    virtual void ask(const PermitCall&, Completion) = 0;
};

} // namespace hickoryknot
