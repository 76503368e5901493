#pragma once

#include "placement/Choice.h"
#include "placement/EngineState.h"

namespace hickoryknot {

/// Strategy that chooses the worker for one task of a job out of those where it fits. Stateless.
class WorkerChooser {
public:
    virtual ~WorkerChooser() = default;

    virtual Choice choose(const EngineState&, const JobRecord&) const = 0;
};

} // namespace hickoryknot
