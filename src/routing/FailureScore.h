#pragma once

#include <algorithm>

#include "core/Time.h"

namespace hickoryknot {

/// Share of failures among the recent sends to one server, newer ones counting more. A server that fails everything at
/// once looks idle and would attract all work, so at a high score it gets one probe at a time until probes succeed.
class FailureScore {
public:
    void recordSuccess()
    {
        m_score *= 1 - step;
        m_probeInterval = Duration(0);
        if (m_score < leaveAt)
            m_isOnProbation = false;
    }

    /// `weight` is 1 for a failure and less for a refusal, which may only mean that the server is full.
    void recordFailure(double weight, TimePoint now)
    {
        m_score += (1 - m_score) * step * weight;
        m_isOnProbation = m_isOnProbation || m_score >= enterAt;
        if (m_isOnProbation) {
            m_probeInterval = std::clamp(m_probeInterval * 2, firstProbeInterval, lastProbeInterval);
            m_nextProbe = now + m_probeInterval;
        }
    }

    double score() const { return m_score; }
    bool isOnProbation() const { return m_isOnProbation; }

    /// Earliest moment of the next probe; meaningful on probation only.
    TimePoint nextProbe() const { return m_nextProbe; }

private:
    // Four failures in a row start the probation of a server without earlier failures; seven successes end it.
    static constexpr double step = 0.2;
    static constexpr double enterAt = 0.5;
    static constexpr double leaveAt = 0.25;
    // Each probe risks one request, so probes of a server that stays broken become rare.
    static constexpr Duration firstProbeInterval { 50ms };
    static constexpr Duration lastProbeInterval { 2s };

    double m_score { 0 };
    bool m_isOnProbation { false };
    Duration m_probeInterval { 0 };
    TimePoint m_nextProbe;
};

} // namespace hickoryknot
