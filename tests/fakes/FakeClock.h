#pragma once

#include "core/Time.h"

namespace hickoryknot {

/// The time of a test, and the clocks of hosts derived from it, which differ in offset and rate.
class FakeClock {
public:
    TimePoint now() const { return m_now; }
    void advance(Duration duration) { m_now += duration; }

    /// Time on the clock of a host that started at `offset` and runs `driftPerMille` thousandths too fast.
    TimePoint hostTime(Duration offset, int64_t driftPerMille) const
    {
        const Duration elapsed = m_now.time_since_epoch();
        return TimePoint(offset + elapsed + elapsed * driftPerMille / 1000);
    }

private:
    TimePoint m_now { 1s };
};

} // namespace hickoryknot
