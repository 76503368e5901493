#pragma once

#include <vector>

#include "placement/EngineState.h"

namespace hickoryknot {

/// Finds the worker on which room for an urgent task costs the least work.
class PreemptionPlanner {
public:
    explicit PreemptionPlanner(const EngineState& state)
        : m_state(state)
    {
    }

    /// The worker and, in victims(), the runs to stop there; noIndex if stopping preemptible work cannot make room. No
    /// victims are needed where reserved or already stopping capacity suffices. Looks at every worker and its tasks.
    WorkerIndex plan(const JobRecord&, TimePoint now);
    /// True if stopping preemptible work could make room for this many tasks of the job at once.
    bool hasRoomFor(const JobRecord&, uint32_t tasks) const;
    const std::vector<RunIndex>& victims() const { return m_victims; }

private:
    struct Candidate {
        double loss { 0 };
        RunIndex run { noIndex };
    };

    bool isPreemptible(const Run&) const;
    double lossOf(const Run&, TimePoint now) const;
    bool planOn(WorkerIndex, const Resources& need, double& loss, TimePoint now);

    const EngineState& m_state;

    // Scratch space, kept to avoid allocation.
    std::vector<Candidate> m_candidates;
    std::vector<RunIndex> m_chosen;
    std::vector<RunIndex> m_victims;
};

} // namespace hickoryknot
