#pragma once

#include "core/Time.h"
#include "lease/LeaseTimes.h"

namespace hickoryknot {

/// Computes lease durations and expiry times for a grantor and a holder with separate clocks. The holder counts a lease
/// from the time at which it sent its request; the grantor counts it from the time of its response and adds the maximum
/// drift.
class LeaseCalculator {
public:
    explicit LeaseCalculator(const LeaseTimes& times)
        : m_times(times)
    {
    }

    /// Maximum disagreement of two clocks over `lease`.
    Duration maxDrift(Duration lease) const { return lease * m_times.driftPermille / 1000 + m_times.driftFixed; }

    /// Time on the grantor's clock from which on the holder no longer holds the lease.
    TimePoint expiry(TimePoint grantedAt, Duration lease) const { return grantedAt + lease + maxDrift(lease); }

    /// Longest lease, at most `wanted`, that can be granted at `now` so that it expires before `end` on the grantor's
    /// clock. Zero if there is none.
    Duration maxGrantable(TimePoint now, TimePoint end, Duration wanted) const;

private:
    LeaseTimes m_times;
};

} // namespace hickoryknot
