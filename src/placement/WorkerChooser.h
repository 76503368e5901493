#pragma once

#include "placement/EngineState.h"
#include "placement/WorkerChoice.h"

namespace hickoryknot {

/// Strategy that chooses a worker for one task of a job from those where it fits. Stateless.
class WorkerChooser {
public:
    virtual ~WorkerChooser() = default;

    virtual WorkerChoice choose(const EngineState&, const JobRecord&) const = 0;
};

} // namespace hickoryknot
