#pragma once

#include <chrono>
#include <cstdint>

namespace hickoryknot {

using Duration = std::chrono::microseconds;

/// Tag of the host's monotonic clock. Deciding code never reads it: the present time is an argument.
struct MonotonicClock {
    using rep = int64_t;
    using period = std::micro;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// A moment on one host's monotonic clock; not comparable between hosts.
using TimePoint = MonotonicClock::time_point;

/// A moment of the calendar in microseconds since 1970-01-01 UTC; for hours of the day and request ids only.
using WallTime = std::chrono::sys_time<Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

} // namespace hickoryknot
