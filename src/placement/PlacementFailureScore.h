#pragma once

namespace hickoryknot {

/// Likelihood that a worker or job is the cause of failures, from 0 to 1. Each failure is weighted by one minus the
/// score of the other side, so that a failing job doesn't put workers on probation and a failing worker doesn't delay
/// jobs.
class PlacementFailureScore {
public:
    /// `otherScore` is the score of the other side; `weight` is below 1 for a failure that isn't independent of earlier
    /// ones.
    void recordFailure(double otherScore, double weight = 1)
    {
        m_value += failureStep * weight * (1 - otherScore) * (1 - m_value);
    }
    void recordSuccess() { m_value *= successFactor; }

    double value() const { return m_value; }
    /// Reached by three consecutive failures with counterparts whose score is 0.
    bool isHigh() const { return m_value > highThreshold; }
    /// Reached by two successes after that.
    bool isLow() const { return m_value < lowThreshold; }

private:
    static constexpr double failureStep = 0.3;
    static constexpr double successFactor = 0.6;
    static constexpr double highThreshold = 0.6;
    // Hysteresis: below the high threshold, so that one success doesn't end a probation.
    static constexpr double lowThreshold = 0.3;

    double m_value { 0 };
};

} // namespace hickoryknot
