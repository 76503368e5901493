#include "app/SteadyTime.h"

#include <ctime>

namespace hickoryknot {

TimePoint steadyNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

WallTime wallNow() { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); }

} // namespace hickoryknot
