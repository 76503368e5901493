#pragma once

#include "placement/WorkerChooser.h"

namespace hickoryknot {

/// Spreads the tasks of a job over racks first, then over the workers of each rack.
class SpreadChooser final : public WorkerChooser {
public:
    WorkerChoice choose(const EngineState&, const JobRecord&) const override;
};

} // namespace hickoryknot
