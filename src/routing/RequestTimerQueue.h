#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <tuple>
#include <vector>

#include "core/Time.h"
#include "routing/RouterAction.h"

namespace hickoryknot {

enum class TimerKind : uint8_t {
    TimeLimit, // Wait bound or deadline.
    Retry, // End of a retry backoff.
};

struct RequestTimer {
    TimePoint at;
    RequestHandle handle {};
    TimerKind kind { TimerKind::TimeLimit };

    friend bool operator>(const RequestTimer& a, const RequestTimer& b)
    {
        return std::tie(a.at, a.handle, a.kind) > std::tie(b.at, b.handle, b.kind);
    }
};

/// Min-heap of request timers. Timers of ended requests stay in the heap and are removed when they are too many.
class RequestTimerQueue {
public:
    void add(RequestTimer timer)
    {
        m_timers.push_back(timer);
        std::ranges::push_heap(m_timers, std::greater<> {});
    }

    /// Pops the earliest timer if it has expired.
    std::optional<RequestTimer> popExpired(TimePoint now)
    {
        if (m_timers.empty() || m_timers.front().at > now)
            return std::nullopt;
        std::ranges::pop_heap(m_timers, std::greater<> {});
        const RequestTimer timer = m_timers.back();
        m_timers.pop_back();
        return timer;
    }

    std::optional<TimePoint> next() const
    {
        return m_timers.empty() ? std::nullopt : std::optional(m_timers.front().at);
    }

    /// Removes the timers of ended requests if there are many.
    template <typename IsLive> void removeStaleTimers(size_t liveRequests, IsLive isLive)
    {
        constexpr size_t minStaleTimers = 4096;
        if (m_timers.size() <= 4 * liveRequests + minStaleTimers)
            return;
        std::erase_if(m_timers, [&](const RequestTimer& timer) { return !isLive(timer.handle); });
        std::ranges::make_heap(m_timers, std::greater<> {});
    }

private:
    std::vector<RequestTimer> m_timers;
};

} // namespace hickoryknot
