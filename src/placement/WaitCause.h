#pragma once

#include <cstdint>

namespace hickoryknot {

/// What last kept a job from starting.
enum class WaitCause : uint8_t {
    Turn, // Other jobs were ahead.
    Capacity, // No worker had enough free capacity.
    Quota, // The team's quota was used up.
    MaxRunning, // The row's maxRunning was reached.
    Hours, // The row's hours were closed.
    BackOff, // Tasks of the job failed and the next try waits.
    Reservation, // Capacity was being collected for the job.
};

} // namespace hickoryknot
