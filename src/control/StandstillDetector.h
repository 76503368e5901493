#pragma once

#include <optional>

#include "core/Time.h"

namespace hickoryknot {

/// Tells when a process has stood still for longer than a limit: it was paused, or its machine suspended. Requests that
/// lay unread in its sockets meanwhile may be of callers who have given them up long ago.
class StandstillDetector {
public:
    explicit StandstillDetector(Duration limit)
        : m_limit(limit)
    {
    }

    /// Must be called several times within the limit while the process runs, and before each request is handled. `now`
    /// must count the time of a suspension. Returns how long the process stood still if that was too long; from then
    /// on, every call does.
    std::optional<Duration> check(TimePoint now);

private:
    Duration m_limit;
    std::optional<TimePoint> m_lastCheck;
    std::optional<Duration> m_standstill;
};

} // namespace hickoryknot
