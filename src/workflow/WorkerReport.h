#pragma once

#include <cstdint>
#include <optional>

#include "core/Time.h"
#include "workflow/WorkerClock.h"
#include "workflow/WorkerProfile.h"

namespace hickoryknot::workflow {

/// What a worker says of itself in a heartbeat.
struct WorkerReport {
    WorkerProfile profile;
    uint64_t sequence { 0 }; // Ascending within a life, so that a late report is recognised.
    std::optional<WorkerMs> clock;
    /// Draining workers only: least time that is left.
    std::optional<Duration> remaining;
    /// The worker stays slow for this long after its start.
    Duration warmup { 0 };
};

} // namespace hickoryknot::workflow
