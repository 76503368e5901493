#pragma once

#include <cstdint>

namespace hickoryknot::workflow {

/// How a run ended, as far as the record cares.
enum class RunEnd : uint8_t {
    Done,
    Failed, // Through its own fault or the worker's; counts as an attempt.
    Stopped, // Told to stop.
    Lost, // Its lease ran out, or its worker's life ended.
    Broken, // Another member of the gang ended.
    Alone, // The other members of the gang did not start in time.
    NeverStarted, // The worker refused the start or surely did not get it.
};

const char* runEndName(RunEnd);

} // namespace hickoryknot::workflow
