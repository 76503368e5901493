#pragma once

#include <algorithm>
#include <cstdint>
#include <pcg_random.hpp>

#include "core/Time.h"

namespace hickoryknot {

/// Exponential backoff with jitter: the delay doubles from one second up to a limit, with a jitter of 25% either way so
/// that jobs that failed together are not retried together. Deterministic for a given seed.
class BackOff {
public:
    explicit BackOff(uint64_t seed)
        : m_random(seed)
    {
    }

    /// The delay after the given number of consecutive failures.
    Duration delayAfter(uint32_t consecutiveFailures, Duration limit)
    {
        const uint32_t doublings = std::min(consecutiveFailures ? consecutiveFailures - 1 : 0, 16U);
        const Duration base = std::min<Duration>(initialDelay * (int64_t { 1 } << doublings), limit);
        // A factor of 768/1024 to 1280/1024, i.e. 0.75 to 1.25.
        return base * (768 + static_cast<int64_t>(m_random(513))) / 1024;
    }

    /// The state of the random generator as one number, for the engine's digest.
    uint64_t fingerprint() const
    {
        pcg32 copy = m_random;
        return copy();
    }

private:
    static constexpr Duration initialDelay { 1s };

    pcg32 m_random;
};

} // namespace hickoryknot
