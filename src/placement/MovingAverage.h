#pragma once

#include <cstdint>

#include "core/Time.h"

namespace hickoryknot {

/// Exponential moving average.
class MovingAverage {
public:
    void add(double value)
    {
        ++m_count;
        // Plain mean of the first eight values, then a weight of 1/8 for each new value.
        const double weight = m_count < 8 ? 1.0 / m_count : 1.0 / 8;
        m_mean += (value - m_mean) * weight;
    }

    uint32_t count() const { return m_count; }
    double mean() const { return m_mean; }
    /// Three samples are the minimum for a useful estimate.
    bool hasEnoughSamples() const { return m_count >= 3; }

private:
    double m_mean { 0 };
    uint32_t m_count { 0 };
};

} // namespace hickoryknot
