#pragma once

#include <cstdint>

#include "core/Time.h"

namespace hickoryknot {

/// Running mean of measured values that gives recent ones more weight.
class RunEstimate {
public:
    void add(double value)
    {
        ++m_count;
        // The plain mean of the first values, then a window of about eight.
        const double weight = m_count < 8 ? 1.0 / m_count : 1.0 / 8;
        m_mean += (value - m_mean) * weight;
    }

    uint32_t count() const { return m_count; }
    double mean() const { return m_mean; }
    /// Fewer than three values say too little.
    bool isKnown() const { return m_count >= 3; }

private:
    double m_mean { 0 };
    uint32_t m_count { 0 };
};

} // namespace hickoryknot
