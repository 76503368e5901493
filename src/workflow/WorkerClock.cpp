#include "workflow/WorkerClock.h"

#include <algorithm>

namespace hickoryknot::workflow {

namespace {

/// Maximum that a fast clock counts in this real time.
Duration maxCounted(Duration realTime) { return realTime * (1000 + WorkerClock::maxFastnessPermille) / 1000; }

} // namespace

void WorkerClock::update(WorkerClockMs reading, TimePoint receivedAt)
{
    // Messages may be reordered; keeps the reading with the highest lower bound.
    if (!m_lower || lowerBound(receivedAt) < reading)
        m_lower = { reading, receivedAt };
}

void WorkerClock::update(WorkerClockMs reading, TimePoint sentAt, TimePoint receivedAt)
{
    update(reading, receivedAt);
    // Readings are rounded down.
    const WorkerClockMs atMost = reading + 1;
    if (!m_upper || *upperBound(sentAt) > atMost)
        m_upper = { atMost, sentAt };
}

WorkerClockMs WorkerClock::lowerBound(TimePoint time) const
{
    const Duration passed = time - m_lower->time;
    // Before the reading, the fastest possible clock had the lowest one.
    const Duration counted = passed >= Duration(0) ? minCounted(passed) : -maxCounted(-passed) - 1ms;
    return m_lower->reading + counted / 1ms;
}

std::optional<WorkerClockMs> WorkerClock::upperBound(TimePoint time) const
{
    if (!m_upper)
        return std::nullopt;
    const Duration passed = time - m_upper->time;
    const Duration counted = passed >= Duration(0) ? maxCounted(passed) : -minCounted(-passed);
    return m_upper->reading + counted / 1ms + 1;
}

TimePoint WorkerClock::latestTimeOf(WorkerClockMs reading) const
{
    return m_lower->time + maxRealTime(std::max<WorkerClockMs>(0, reading - m_lower->reading) * Duration(1ms));
}

std::optional<TimePoint> WorkerClock::earliestTimeOf(WorkerClockMs reading) const
{
    if (!m_upper || reading < m_upper->reading)
        return std::nullopt;
    return m_upper->time + (reading - m_upper->reading) * Duration(1ms) * 1000 / (1000 + maxFastnessPermille);
}

} // namespace hickoryknot::workflow
