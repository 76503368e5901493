#pragma once

#include "placement/WorkerChooser.h"

namespace hickoryknot {

/// Best fit by processors, memory and accelerators, among the workers with the least sufficient capacity.
class PackChooser final : public WorkerChooser {
public:
    WorkerChoice choose(const EngineState&, const JobRecord&) const override;
};

} // namespace hickoryknot
