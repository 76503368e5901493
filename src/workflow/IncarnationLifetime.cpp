#include "workflow/IncarnationLifetime.h"

#include <algorithm>

namespace hickoryknot::workflow {

void IncarnationLifetime::addReport(std::optional<WorkerClockMs> reading, TimePoint receivedAt)
{
    m_runningSince = std::min(m_runningSince.value_or(receivedAt), receivedAt);
    if (!reading)
        return;
    m_clock.update(*reading, receivedAt);
    if (const auto readAt = m_clock.earliestTimeOf(*reading))
        m_runningUntil = std::max(m_runningUntil.value_or(*readAt), std::min(*readAt, receivedAt));
}

void IncarnationLifetime::addResponse(std::optional<WorkerClockMs> reading, TimePoint sentAt, TimePoint receivedAt)
{
    // A clock that was stopped, contrary to the platform's guarantee, must not make its worker look like another one.
    if (reading && m_clock.isKnown() && *reading < m_clock.lowerBound(sentAt))
        m_clock = {};
    if (reading)
        m_clock.update(*reading, sentAt, receivedAt);
    m_runningUntil = std::max(m_runningUntil.value_or(sentAt), sentAt);
    addReport(reading, receivedAt);
}

MessageSender IncarnationLifetime::senderOf(
    std::optional<WorkerClockMs> reading, TimePoint sentAt, TimePoint receivedAt) const
{
    const auto highest = m_clock.upperBound(receivedAt);
    if (!reading || !highest)
        return MessageSender::Unknown;
    if (*reading < m_clock.lowerBound(sentAt) || *reading > *highest)
        return MessageSender::Other;
    // A later incarnation started after this one was last seen, so its clock is behind by this one's known lifetime.
    const Duration lifetime
        = m_runningUntil && m_runningSince ? std::max(Duration(0), *m_runningUntil - *m_runningSince) : Duration(0);
    const WorkerClockMs highestOfLater = *highest - WorkerClock::minCounted(lifetime) / 1ms;
    return *reading > highestOfLater ? MessageSender::Addressee : MessageSender::Unknown;
}

} // namespace hickoryknot::workflow
