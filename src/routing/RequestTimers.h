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
    Bound, // Wait bound or deadline.
    Retry, // End of a back-off.
};

struct RequestTimer {
    TimePoint at;
    RequestHandle ticket {};
    TimerKind kind { TimerKind::Bound };

    friend bool operator>(const RequestTimer& a, const RequestTimer& b)
    {
        return std::tie(a.at, a.ticket, a.kind) > std::tie(b.at, b.ticket, b.kind);
    }
};

/// Moments at which requests have to be looked at, earliest first. Timers of ended requests are left behind and cleared
/// before they outnumber the live ones.
class RequestTimers {
public:
    void add(RequestTimer timer)
    {
        m_timers.push_back(timer);
        std::ranges::push_heap(m_timers, std::greater<> {});
    }

    /// Takes the earliest timer that is due.
    std::optional<RequestTimer> popDue(TimePoint now)
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

    /// Drops timers of ended requests when there are many.
    template <typename IsLive> void clearEnded(size_t liveRequests, IsLive isLive)
    {
        constexpr size_t reserve = 4096;
        if (m_timers.size() <= 4 * liveRequests + reserve)
            return;
        std::erase_if(m_timers, [&](const RequestTimer& timer) { return !isLive(timer.ticket); });
        std::ranges::make_heap(m_timers, std::greater<> {});
    }

private:
    std::vector<RequestTimer> m_timers;
};

} // namespace hickoryknot
