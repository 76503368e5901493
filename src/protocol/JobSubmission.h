#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// The three kinds of jobs.
enum class JobKind : uint8_t {
    Service, // Runs until cancelled; a task that ends is started anew.
    Batch, // Each task runs to its end.
    Gang, // All tasks start together or none does.
};

/// A job that a caller submits.
struct JobSubmission {
    RequestId request;
    RowName row;
    TeamId team;
    JobKind kind { JobKind::Batch };
    uint32_t tasks { 1 };
    /// What each task asks for.
    Resources perTask;
    Duration expectedRun { 0 };
    /// Missing: the row decides. A task of a job that is not repeatable is never started a second time.
    std::optional<bool> repeatable;
    std::string command;
    std::optional<ZoneId> homeZone;
    uint32_t attempt { 1 };
};

} // namespace hickoryknot
