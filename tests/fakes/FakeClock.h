#pragma once

#include "core/Time.h"

namespace hickoryknot {

/// The time of a test and, derived from it, the clocks of hosts that differ in start and speed.
class FakeClock {
public:
    TimePoint now() const { return m_now; }
    void advance(Duration duration) { m_now += duration; }

    /// What a host's clock shows that started at `offset` and runs `driftPerMille` too fast.
    TimePoint hostTime(Duration offset, int64_t driftPerMille) const
    {
        const Duration elapsed = m_now.time_since_epoch();
        return TimePoint(offset + elapsed + elapsed * driftPerMille / 1000);
    }

private:
    TimePoint m_now { 1s };
};

} // namespace hickoryknot
