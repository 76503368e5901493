#include "workflow/WorkerClock.h"

#include <algorithm>

namespace hickoryknot::workflow {

void WorkerClock::update(WorkerClockMs reading, TimePoint receivedAt)
{
    // Responses may be reordered; keeps the reading with the highest lower bound.
    if (m_reading && lowerBound(receivedAt) >= reading)
        return;
    m_reading = reading;
    m_receivedAt = receivedAt;
}

WorkerClockMs WorkerClock::lowerBound(TimePoint now) const
{
    const Duration passed = std::max(Duration(0), now - m_receivedAt) * (1000 - maxSlownessPermille) / 1000;
    return *m_reading + passed / 1ms;
}

TimePoint WorkerClock::latestTimeOf(WorkerClockMs reading) const
{
    return m_receivedAt + maxRealTime(std::max<WorkerClockMs>(0, reading - *m_reading) * Duration(1ms));
}

} // namespace hickoryknot::workflow
