#pragma once

#include "core/Time.h"

namespace hickoryknot {

/// Durations of all leases and the maximum drift of two clocks over one lease.
struct LeaseTimes {
    Duration task { 3s };
    Duration zone { 2s };
    Duration zoneRenewal { 500ms };
    Duration table { 2s };
    /// Relative drift: common oscillators stay below 0.1%, virtual machines below 1%.
    int64_t driftPermille { 10 };
    /// Allowance for clock steps and for the time between reading the clock and acting on it.
    Duration driftFixed { 50ms };
};

} // namespace hickoryknot
