#pragma once

#include "placement/WorkerChooser.h"

namespace hickoryknot {

/// Chooses the first worker that fits, in registration order. Linear; baseline for the benchmarks.
class FirstFitChooser final : public WorkerChooser {
public:
    WorkerChoice choose(const EngineState& state, const JobRecord& job) const override
    {
        for (WorkerIndex worker = 0; worker < state.workers.size(); ++worker) {
            if (state.workers.fits(worker, job.perTask))
                return { worker, "first fit", 0, 0 };
        }
        return {};
    }
};

} // namespace hickoryknot
