#pragma once

#include <string>

#include "placement/EngineState.h"

namespace hickoryknot {

/// Finds constraints that a job can never meet. Each answer is a sentence with the numbers compared, or empty.
class RefusalCheck {
public:
    explicit RefusalCheck(const EngineState& state)
        : m_state(state)
    {
    }

    /// Against its row and its team's quota.
    std::string againstTable(const JobRecord&) const;
    /// Against the workers known now, whether or not they have been known long enough to refuse.
    std::string againstWorkers(const JobRecord&) const;
    /// True if the workers have been known long enough.
    bool mayRefuseByWorkers(TimePoint now) const
    {
        return m_state.workers.knownCount() && now - m_state.workersSince >= m_state.settings.refusalGrace;
    }

private:
    const EngineState& m_state;
};

} // namespace hickoryknot
