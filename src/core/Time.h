#pragma once

#include <chrono>
#include <cstdint>

namespace hickoryknot {

using Duration = std::chrono::microseconds;

/// Clock type for time points of the host's monotonic clock. It has no now(): scheduling and routing code takes the
/// current time as an argument, so that it is deterministic.
struct MonotonicClock {
    using rep = int64_t;
    using period = std::micro;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// Time point of one host's monotonic clock; not comparable between hosts.
using TimePoint = MonotonicClock::time_point;

/// Wall-clock time in microseconds since 1970-01-01 UTC; used only for times of day and request ids.
using WallTime = std::chrono::sys_time<Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

} // namespace hickoryknot
