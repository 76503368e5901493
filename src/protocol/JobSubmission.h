#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

enum class JobKind : uint8_t {
    Service, // Runs until cancelled; a task that ends is restarted.
    Batch, // Each task runs to completion.
    Gang, // All tasks start together or not at all.
};

/// A job that a caller submits.
struct JobSubmission {
    RequestId request;
    RowName row;
    TeamId team;
    JobKind kind { JobKind::Batch };
    uint32_t tasks { 1 };
    /// Resource request of each task.
    Resources perTask;
    Duration expectedRun { 0 };
    /// Empty: the setting of the row applies. A task of a job that is not repeatable is never started a second time.
    std::optional<bool> repeatable;
    std::string command;
    std::optional<ZoneId> homeZone;
    uint32_t attempt { 1 };
};

} // namespace hickoryknot
