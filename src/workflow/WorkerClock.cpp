#include "workflow/WorkerClock.h"

#include <algorithm>

namespace hickoryknot::workflow {

void WorkerClock::observed(WorkerClockMs reading, TimePoint receivedAt)
{
    // Answers may overtake each other; the one that says the most wins.
    if (m_reading && atLeast(receivedAt) >= reading)
        return;
    m_reading = reading;
    m_receivedAt = receivedAt;
}

WorkerClockMs WorkerClock::atLeast(TimePoint now) const
{
    const Duration passed = std::max(Duration(0), now - m_receivedAt) * (1000 - slowPermille) / 1000;
    return *m_reading + passed / 1ms;
}

TimePoint WorkerClock::surelyReached(WorkerClockMs reading) const
{
    return m_receivedAt + stretched(std::max<WorkerClockMs>(0, reading - *m_reading) * Duration(1ms));
}

} // namespace hickoryknot::workflow
