#include "control/StandstillDetector.h"

#include <utility>

namespace hickoryknot {

std::optional<Duration> StandstillDetector::check(TimePoint now)
{
    const TimePoint previous = std::exchange(m_lastCheck, now).value_or(now);
    if (!m_standstill && now - previous > m_limit)
        m_standstill = now - previous;
    return m_standstill;
}

} // namespace hickoryknot
