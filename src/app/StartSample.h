#pragma once

#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

/// Waiting time of one request or task before its start, for the burn report.
struct StartSample {
    RowName row;
    /// The row's target when it was measured.
    Duration targetWait { 0 };
    Duration waited { 0 };
    /// False for work that was given up.
    bool hasStarted { true };
};

} // namespace hickoryknot
