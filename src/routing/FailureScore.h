#pragma once

#include <algorithm>

#include "core/Time.h"

namespace hickoryknot {

/// Exponentially weighted failure rate of the sends to one server. A server that fails all requests immediately looks
/// idle to the load balancer and would attract all requests. At a high score the server is on probation: it gets one
/// probe request at a time until probes succeed.
class FailureScore {
public:
    void recordSuccess()
    {
        m_score *= 1 - smoothing;
        m_probeInterval = Duration(0);
        if (m_score < recoveryThreshold)
            m_isOnProbation = false;
    }

    /// `weight` is 1 for a failure and less for a rejection, which may only mean that the server is full.
    void recordFailure(double weight, TimePoint now)
    {
        m_score += (1 - m_score) * smoothing * weight;
        m_isOnProbation = m_isOnProbation || m_score >= probationThreshold;
        if (m_isOnProbation) {
            m_probeInterval = std::clamp(m_probeInterval * 2, minProbeInterval, maxProbeInterval);
            m_nextProbe = now + m_probeInterval;
        }
    }

    double score() const { return m_score; }
    bool isOnProbation() const { return m_isOnProbation; }

    /// Earliest time of the next probe; valid on probation only.
    TimePoint nextProbe() const { return m_nextProbe; }

private:
    // Four failures in a row put a server without earlier failures on probation; seven successes end the probation.
    static constexpr double smoothing = 0.2;
    static constexpr double probationThreshold = 0.5;
    static constexpr double recoveryThreshold = 0.25;
    // Each probe risks one request, so the probe interval of a server that keeps failing backs off.
    static constexpr Duration minProbeInterval { 50ms };
    static constexpr Duration maxProbeInterval { 2s };

    double m_score { 0 };
    bool m_isOnProbation { false };
    Duration m_probeInterval { 0 };
    TimePoint m_nextProbe;
};

} // namespace hickoryknot
