#pragma once

#include "placement/WorkerChooser.h"

namespace hickoryknot {

/// The first worker in order of announcement that fits; linear, for comparison in measurements.
class FirstFitChooser final : public WorkerChooser {
public:
    Choice choose(const EngineState& state, const JobRecord& job) const override
    {
        for (WorkerIndex worker = 0; worker < state.workers.size(); ++worker) {
            if (state.workers.fits(worker, job.perTask))
                return { worker, "first fit", 0, 0 };
        }
        return {};
    }
};

} // namespace hickoryknot
