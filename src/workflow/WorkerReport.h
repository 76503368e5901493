#pragma once

#include <cstdint>
#include <optional>

#include "workflow/WorkerClock.h"
#include "workflow/WorkerProfile.h"

namespace hickoryknot::workflow {

/// What a worker says of itself in a heartbeat.
struct WorkerReport {
    WorkerProfile profile;
    uint64_t sequence { 0 }; // Ascending within a life, so that a late report is recognised.
    std::optional<WorkerClockMs> clock;
};

} // namespace hickoryknot::workflow
