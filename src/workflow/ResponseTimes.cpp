#include "workflow/ResponseTimes.h"

#include <algorithm>

namespace hickoryknot::workflow {

namespace {

/// Long enough for some hundred responses, short enough to follow a change.
constexpr Duration windowLength = 1s;
/// Fewer responses say little about the slowest of them.
constexpr uint64_t minResponses = 50;
/// A response is overdue at this multiple of the time that all but one in a hundred take.
constexpr int64_t overdueFactor = 2;
/// Bounds: many times a round trip within a region, and less than the timeout of a call.
constexpr Duration minOverdue = 15ms;
constexpr Duration maxOverdue = 400ms;
/// Without enough responses.
constexpr Duration defaultOverdue = 150ms;
/// A share of unanswered requests, in percent, far above that of a sound network.
constexpr uint64_t lossyPercent = 3;
constexpr uint64_t minUnanswered = 5;

} // namespace

void ResponseTimes::advance(TimePoint now)
{
    if (now - m_currentSince < windowLength)
        return;
    const uint64_t responses = m_current.durations.count();
    m_overdueAfter = responses < minResponses
        ? defaultOverdue
        : std::clamp(m_current.durations.quantile(0.99) * overdueFactor, minOverdue, maxOverdue);
    m_isLossy = m_current.unanswered >= minUnanswered
        && m_current.unanswered * 100 >= (responses + m_current.unanswered) * lossyPercent;
    m_current = {};
    m_currentSince = now;
}

void ResponseTimes::addResponse(Duration duration, TimePoint now)
{
    advance(now);
    m_current.durations.add(duration);
}

void ResponseTimes::addUnanswered(TimePoint now)
{
    advance(now);
    ++m_current.unanswered;
}

Duration ResponseTimes::overdueAfter(TimePoint now)
{
    advance(now);
    return m_overdueAfter > Duration(0) ? m_overdueAfter : defaultOverdue;
}

bool ResponseTimes::isLossy(TimePoint now)
{
    advance(now);
    return m_isLossy;
}

} // namespace hickoryknot::workflow
