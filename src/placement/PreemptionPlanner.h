#pragma once

#include <vector>

#include "placement/EngineState.h"

namespace hickoryknot {

/// Finds the worker on which preempting tasks for an urgent task loses the least work.
class PreemptionPlanner {
public:
    explicit PreemptionPlanner(const EngineState& state)
        : m_state(state)
    {
    }

    /// Returns the worker and sets victims() to the runs to stop there; noIndex if preemption can't free enough
    /// capacity. There are no victims if reserved capacity and that of stopping tasks suffice. Visits every worker and
    /// its tasks.
    WorkerIndex plan(const JobRecord&, TimePoint now);
    /// True if preemption could free capacity for this many tasks of the job at the same time.
    bool canFreeCapacityFor(const JobRecord&, uint32_t tasks) const;
    const std::vector<RunIndex>& victims() const { return m_victims; }

private:
    struct Candidate {
        double cost { 0 };
        RunIndex run { noIndex };
    };

    bool isPreemptible(const Run&) const;
    double preemptionCost(const Run&, TimePoint now) const;
    bool planOnWorker(WorkerIndex, const Resources& need, double& cost, TimePoint now);

    const EngineState& m_state;

    // Scratch buffers, reused to avoid allocations.
    std::vector<Candidate> m_candidates;
    std::vector<RunIndex> m_workerVictims;
    std::vector<RunIndex> m_victims;
};

} // namespace hickoryknot
