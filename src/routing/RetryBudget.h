#pragma once

#include <algorithm>
#include <cstdint>

namespace hickoryknot {

/// Token bucket that limits retries to a percentage of first attempts, so that retries cannot multiply the load of
/// failing servers. The bucket size limits the burst of retries when servers start to fail.
class RetryBudget {
public:
    RetryBudget() = default;
    explicit RetryBudget(uint32_t percent) { setPercent(percent); }

    /// Changes the percentage. When retries become allowed, the bucket starts with `initialBalance` retries, so that
    /// the first requests can be retried too.
    void setPercent(uint32_t percent)
    {
        if (percent && !m_percent)
            m_balanceHundredths = initialBalance * 100;
        if (!percent)
            m_balanceHundredths = 0;
        m_percent = percent;
    }

    void recordFirstAttempt()
    {
        m_balanceHundredths = std::min<uint64_t>(m_balanceHundredths + m_percent, maxBalance * 100);
    }

    /// Consumes one retry; false if the budget is exhausted.
    bool tryConsume()
    {
        if (m_balanceHundredths < 100)
            return false;
        m_balanceHundredths -= 100;
        return true;
    }

private:
    static constexpr uint64_t initialBalance = 3;
    static constexpr uint64_t maxBalance = 50;

    uint32_t m_percent { 0 };
    uint64_t m_balanceHundredths { 0 };
};

} // namespace hickoryknot
