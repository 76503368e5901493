#pragma once

#include "core/Time.h"

namespace hickoryknot {

/// Lengths of all leases and the bound on how far two clocks may disagree over one lease.
struct LeaseTimes {
    Duration task { 3s };
    Duration zone { 2s };
    Duration zoneRenewal { 500ms };
    Duration table { 2s };
    /// Relative drift in thousandths: common oscillators stay below 0.1%, virtual machines below 1%.
    int64_t driftPermille { 10 };
    /// Steps of a clock and the time between reading it and acting.
    Duration driftFixed { 50ms };
};

} // namespace hickoryknot
