#pragma once

#include <cstddef>

#include "core/Ids.h"
#include "core/Time.h"
#include "lease/LeaseTimes.h"
#include "membership/WorkerRegistry.h"

namespace hickoryknot {

/// Settings of one ZoneScheduler; constant over its lifetime.
struct ZoneSchedulerSettings {
    ZoneId zone {};
    LeaseTimes leases {};
    WorkerRegistrySettings workers {};
    /// Bounds the size of one log entry: a placement takes about 40 bytes.
    size_t maxDecisionsPerTick { 4096 };
    /// A proposal to the cell without a result is repeated after this time. Epochs make the repetition idempotent.
    Duration cellRetry { 1s };
    /// Interval between proposals to remove expired records.
    Duration expiryInterval { 10s };
    /// Silent workers without tasks are removed after this time.
    Duration forgetWorkerAfter { 3600s };
};

} // namespace hickoryknot
