#pragma once

#include <algorithm>
#include <cstdint>
#include <pcg_random.hpp>

#include "core/Time.h"

namespace hickoryknot {

/// Waiting times between tries: doubling from one second to a limit, spread by a quarter either way so that jobs that
/// failed together do not come back together. Deterministic by its seed.
class BackOff {
public:
    explicit BackOff(uint64_t seed)
        : m_random(seed)
    {
    }

    /// The wait after the `failures`th failure in a row.
    Duration after(uint32_t failures, Duration limit)
    {
        const uint32_t doublings = std::min(failures ? failures - 1 : 0, 16U);
        const Duration base = std::min<Duration>(firstWait * (int64_t { 1 } << doublings), limit);
        // 768 to 1,280 parts in 1,024.
        return base * (768 + static_cast<int64_t>(m_random(513))) / 1024;
    }

    /// Part of the engine's digest.
    uint64_t fingerprint() const
    {
        pcg32 copy = m_random;
        return copy();
    }

private:
    static constexpr Duration firstWait { 1s };

    pcg32 m_random;
};

} // namespace hickoryknot
