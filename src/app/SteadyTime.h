#pragma once

#include "core/Time.h"

namespace hickoryknot {

/// Reads the host's monotonic clock, which also counts while the machine is suspended: a lease must not outlive a
/// pause.
TimePoint steadyNow();

/// Reads the calendar clock.
WallTime wallNow();

} // namespace hickoryknot
