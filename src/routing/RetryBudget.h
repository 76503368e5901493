#pragma once

#include <algorithm>
#include <cstdint>

namespace hickoryknot {

/// Allows retries as a percentage of first attempts, so that retries cannot multiply the load of failing servers.
/// Unused allowance is saved up to a bound, which limits the burst when servers start to fail.
class RetryBudget {
public:
    RetryBudget() = default;
    explicit RetryBudget(uint32_t percent) { setPercent(percent); }

    /// A row that allows retries at all may do a few before its first attempts have earned them.
    void setPercent(uint32_t percent)
    {
        if (percent && !m_percent)
            m_hundredths = initialRetries * 100;
        if (!percent)
            m_hundredths = 0;
        m_percent = percent;
    }

    void recordFirstAttempt() { m_hundredths = std::min<uint64_t>(m_hundredths + m_percent, maxSavedRetries * 100); }

    /// Takes one retry; false if the budget is used up.
    bool tryTake()
    {
        if (m_hundredths < 100)
            return false;
        m_hundredths -= 100;
        return true;
    }

private:
    static constexpr uint64_t initialRetries = 3;
    static constexpr uint64_t maxSavedRetries = 50;

    uint32_t m_percent { 0 };
    uint64_t m_hundredths { 0 };
};

} // namespace hickoryknot
