#pragma once

#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

/// Waiting time of one request or task before its start, for the burn report.
struct StartSample {
    RowName row;
    /// The row's target waiting time at the time of the sample.
    Duration targetWait { 0 };
    Duration waited { 0 };
    /// False for work that was abandoned before it started.
    bool hasStarted { true };
};

} // namespace hickoryknot
