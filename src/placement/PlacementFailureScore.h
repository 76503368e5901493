#pragma once

namespace hickoryknot {

/// How surely a worker or a job is the cause of failures, from 0 (never) to 1 (always). Each failure counts by how
/// little the other side is to blame, so a failing job does not spoil workers nor a failing worker jobs.
class PlacementFailureScore {
public:
    /// `otherScore` is the score of the other side; `weight` is below 1 for evidence that repeats earlier evidence.
    void fail(double otherScore, double weight = 1)
    {
        m_value += failureStep * weight * (1 - otherScore) * (1 - m_value);
    }
    void succeed() { m_value *= successFactor; }

    double value() const { return m_value; }
    /// Three failures of unsuspected partners in a row.
    bool isHigh() const { return m_value > highMark; }
    /// Two successes after that.
    bool isLow() const { return m_value < lowMark; }

private:
    static constexpr double failureStep = 0.3;
    static constexpr double successFactor = 0.6;
    static constexpr double highMark = 0.6;
    // Apart from the high mark, so that one success does not end a probation.
    static constexpr double lowMark = 0.3;

    double m_value { 0 };
};

} // namespace hickoryknot
