#pragma once

#include <cstdint>

namespace hickoryknot::workflow {

/// Recorded outcome of a run.
enum class RunOutcome : uint8_t {
    Done,
    Failed, // By its own fault or the worker's; counts as an attempt.
    Stopped, // Stopped on request.
    Lost, // Its lease expired, or its worker's incarnation ended for a reason other than a crash.
    GangMemberEnded, // Another member of the gang ended.
    GangIncomplete, // The other members of the gang did not start in time.
    NeverStarted, // The worker rejected the start or certainly did not receive it.
    WorkerCrashed, // Its worker's incarnation ended without an announcement while the run was there.
    WorkerMayHaveCrashed, // The same, but the start was not acknowledged, so the run may not have been there.
};

const char* runOutcomeName(RunOutcome);

/// True if a run with this outcome has certainly been on its worker.
bool provesExecution(RunOutcome);

} // namespace hickoryknot::workflow
