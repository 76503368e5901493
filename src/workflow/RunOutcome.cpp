#include "workflow/RunOutcome.h"

#include <array>
#include <cstddef>

namespace hickoryknot::workflow {

const char* runOutcomeName(RunOutcome outcome)
{
    constexpr std::array names { "done", "failed", "stopped", "lost", "broken", "alone", "neverStarted",
        "workerCrashed", "workerMayHaveCrashed" };
    return names[static_cast<size_t>(outcome)];
}

bool provesExecution(RunOutcome outcome)
{
    return outcome != RunOutcome::NeverStarted && outcome != RunOutcome::Lost
        && outcome != RunOutcome::WorkerMayHaveCrashed;
}

} // namespace hickoryknot::workflow
