#pragma once

#include <cstddef>

#include "core/Ids.h"
#include "core/Time.h"
#include "lease/LeaseTimes.h"
#include "membership/WorkerRegistry.h"

namespace hickoryknot {

/// Settings of one ZoneScheduler, fixed for its life.
struct ZoneSchedulerSettings {
    ZoneId zone {};
    LeaseTimes leases {};
    WorkerRegistrySettings workers {};
    /// Bounds one record: a placement takes about 40 bytes.
    size_t maxDecisionsPerTick { 4096 };
    /// A proposal to the cell without a result is repeated after this time; its effect is guarded by epochs.
    Duration cellRetry { 1s };
    /// How often past records are dropped.
    Duration expiryInterval { 10s };
    /// Silent workers without tasks are forgotten after this time.
    Duration forgetWorkerAfter { 3600s };
};

} // namespace hickoryknot
