#pragma once

#include <cstdint>
#include <optional>

#include "core/Ids.h"
#include "core/Outcome.h"
#include "protocol/JobSubmission.h"

namespace hickoryknot {

/// Lifecycle phase of an accepted job.
enum class JobPhase : uint8_t {
    Queued, // No task runs.
    Running, // At least one task runs.
    Ended, // The outcome is final.
};

/// Response to a status query for one job.
struct JobStatus {
    JobId job;
    RowName row;
    TeamId team;
    JobKind kind { JobKind::Batch };
    JobPhase phase { JobPhase::Queued };
    /// Empty if the job is not assigned to a zone yet.
    std::optional<ZoneId> zone;
    /// Epoch of the assignment to the zone; 0 before the first.
    uint64_t epoch { 0 };
    uint32_t tasks { 0 };
    uint32_t queuedTasks { 0 };
    uint32_t runningTasks { 0 };
    uint32_t succeededTasks { 0 };
    uint32_t failedTasks { 0 };
    /// Present once the phase is Ended.
    std::optional<Outcome> outcome;

    friend bool operator==(const JobStatus&, const JobStatus&) = default;
};

} // namespace hickoryknot
