#pragma once

#include <cstdint>
#include <string>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "protocol/JobSubmission.h"

namespace hickoryknot {

/// Specification of a job as recorded. Repeatability is resolved from the row when the job is recorded, so that a later
/// table change never lets a started task start twice.
struct JobSpec {
    RowName row {};
    TeamId team {};
    JobKind kind { JobKind::Batch };
    uint32_t tasks { 1 };
    Resources perTask {};
    Duration expectedRun { 0 };
    bool isRepeatable { true };
    std::string command {};

    friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// Bounds the size of one log entry and of one job in a snapshot.
constexpr uint32_t maxTasksPerJob = 10000;

/// `rowIsRepeatable` is the default if the submission does not set `repeatable`.
JobSpec makeJobSpec(const JobSubmission&, bool rowIsRepeatable);

/// InvalidArgument: no tasks, too many, or negative amounts.
Expected<void> checkJobSpec(const JobSpec&);

/// Hash over the submission without request id and attempt, to tell a resend from a reused request id.
uint64_t contentHash(const JobSubmission&);

} // namespace hickoryknot
