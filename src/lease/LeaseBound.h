#pragma once

#include "core/Time.h"
#include "lease/LeaseTimes.h"

namespace hickoryknot {

/// Arithmetic of a lease between a grantor and a holder with separate clocks. The holder counts from the moment it sent
/// its request, the grantor from the moment it answered, plus the drift bound.
class LeaseBound {
public:
    explicit LeaseBound(const LeaseTimes& times)
        : m_times(times)
    {
    }

    /// Most that two clocks can disagree over `lease`.
    Duration drift(Duration lease) const { return lease * m_times.driftPermille / 1000 + m_times.driftFixed; }

    /// From this moment of the grantor's clock on the holder has surely stopped.
    TimePoint expiry(TimePoint answeredAt, Duration lease) const { return answeredAt + lease + drift(lease); }

    /// Longest lease, at most `wanted`, that a holder can be given at `now` so that it has stopped before `end` of the
    /// grantor's clock. Zero if there is none.
    Duration grantable(TimePoint now, TimePoint end, Duration wanted) const;

private:
    LeaseTimes m_times;
};

} // namespace hickoryknot
