#include "lease/LeaseCalculator.h"

#include <algorithm>

namespace hickoryknot {

Duration LeaseCalculator::maxGrantable(TimePoint now, TimePoint end, Duration wanted) const
{
    if (end <= now + m_times.driftFixed)
        return Duration::zero();
    // lease + maxDrift(lease) must fit into the remaining time; the division rounds down.
    const Duration remaining = end - now - m_times.driftFixed;
    const Duration lease = remaining * 1000 / (1000 + m_times.driftPermille);
    return std::min(lease, wanted);
}

} // namespace hickoryknot
