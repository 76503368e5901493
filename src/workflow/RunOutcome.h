#pragma once

#include <cstdint>

namespace hickoryknot::workflow {

/// How a run ended, as far as the record cares.
enum class RunOutcome : uint8_t {
    Done,
    Failed, // Through its own fault or the worker's; counts as an attempt.
    Stopped, // Told to stop.
    Lost, // Its lease ran out, or its worker's life ended.
    GangMemberEnded, // Another member of the gang ended.
    GangIncomplete, // The other members of the gang did not start in time.
    NeverStarted, // The worker refused the start or surely did not get it.
};

const char* runOutcomeName(RunOutcome);

} // namespace hickoryknot::workflow
