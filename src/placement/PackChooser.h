#pragma once

#include "placement/WorkerChooser.h"

namespace hickoryknot {

/// Best fit over processors, memory and accelerators among the tightest fitting workers.
class PackChooser final : public WorkerChooser {
public:
    Choice choose(const EngineState&, const JobRecord&) const override;
};

} // namespace hickoryknot
