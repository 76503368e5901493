#pragma once

#include <cstdint>
#include <optional>

#include "workflow/WorkerClock.h"
#include "workflow/WorkerProfile.h"

namespace hickoryknot::workflow {

/// A worker's heartbeat.
struct WorkerReport {
    WorkerProfile profile;
    uint64_t sequence { 0 }; // Ascending within an incarnation; detects reordered reports.
    std::optional<WorkerClockMs> clock;
};

} // namespace hickoryknot::workflow
