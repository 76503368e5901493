#pragma once

#include <cstdint>

namespace hickoryknot {

/// What last kept a job from starting.
enum class WaitCause : uint8_t {
    QueueOrder, // Other jobs were ahead in the order.
    Capacity, // No worker had enough free capacity.
    Quota, // The team's quota was used up.
    MaxRunning, // The row's maxRunning was reached.
    Hours, // Outside of the row's hours.
    BackOff, // Tasks of the job failed and the retry is delayed.
    Reservation, // Capacity was being reserved for the job.
};

} // namespace hickoryknot
