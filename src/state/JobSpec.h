#pragma once

#include <cstdint>
#include <string>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "protocol/JobSubmission.h"

namespace hickoryknot {

/// What a job asks for, as recorded. The row's rule on repeatability is resolved when the job is recorded, so that a
/// later table change never lets a started task start twice.
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

/// Most tasks of one job; bounds one record and one snapshot entry.
constexpr uint32_t maxTasksPerJob = 10000;

/// The recorded form of a submission; `rowIsRepeatable` holds where the submission leaves it open.
JobSpec makeJobSpec(const JobSubmission&, bool rowIsRepeatable);

/// InvalidArgument: no tasks, too many, or negative amounts.
Expected<void> checkJobSpec(const JobSpec&);

/// Hash over what the caller wrote except request id and attempt: equal for a resend, different for other content.
uint64_t contentHash(const JobSubmission&);

} // namespace hickoryknot
