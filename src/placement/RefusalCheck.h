#pragma once

#include <string>

#include "placement/EngineState.h"

namespace hickoryknot {

/// Finds constraints that a job can never satisfy. Each check returns a sentence with the compared numbers, or an empty
/// string.
class RefusalCheck {
public:
    explicit RefusalCheck(const EngineState& state)
        : m_state(state)
    {
    }

    /// Checks against the job's row and the team's quota.
    std::string checkTable(const JobRecord&) const;
    /// Checks against the known workers, regardless of PlacementSettings::refusalGracePeriod.
    std::string checkWorkers(const JobRecord&) const;
    /// True if workers have been known for PlacementSettings::refusalGracePeriod.
    bool mayCheckWorkers(TimePoint now) const
    {
        return m_state.workers.knownCount()
            && now - m_state.firstWorkerKnownSince >= m_state.settings.refusalGracePeriod;
    }

private:
    const EngineState& m_state;
};

} // namespace hickoryknot
