#include "state/JobSpec.h"

#include "core/Hash.h"

#include <fmt/format.h>

namespace hickoryknot {

JobSpec makeJobSpec(const JobSubmission& submission, bool rowIsRepeatable)
{
    return { .row = submission.row,
        .team = submission.team,
        .kind = submission.kind,
        .tasks = submission.tasks,
        .perTask = submission.perTask,
        .expectedRun = submission.expectedRun,
        .isRepeatable = submission.repeatable.value_or(rowIsRepeatable),
        .command = submission.command };
}

Expected<void> checkJobSpec(const JobSpec& spec)
{
    if (spec.tasks < 1 || spec.tasks > maxTasksPerJob)
        return makeError(
            ErrorCode::InvalidArgument, fmt::format("tasks is {}; allowed are 1 to {}", spec.tasks, maxTasksPerJob));
    const Resources& requested = spec.perTask;
    if (requested.millicores.count() < 0 || requested.mebibytes.count() < 0 || requested.accelerators.count() < 0)
        return makeError(ErrorCode::InvalidArgument, "processors, memory and accelerators must not be negative");
    if (requested == Resources {})
        return makeError(ErrorCode::InvalidArgument, "a task must ask for processors, memory or accelerators");
    return {};
}

uint64_t contentHash(const JobSubmission& submission)
{
    const int repeatable = submission.repeatable ? *submission.repeatable : -1;
    // The command comes last, because it may contain the separator.
    const auto text = fmt::format("{}|{}|{}|{}|{}|{}|{}|{}|{}|{}|{}", submission.row.value(), submission.team.value(),
        static_cast<int>(submission.kind), submission.tasks, submission.perTask.millicores.count(),
        submission.perTask.mebibytes.count(), submission.perTask.accelerators.count(), submission.expectedRun.count(),
        repeatable, submission.homeZone.value_or(ZoneId()).value(), submission.command);
    return hashBytes(text);
}

} // namespace hickoryknot
