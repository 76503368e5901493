#pragma once

#include <cstdint>

#include "placement/EngineState.h"

namespace hickoryknot {

/// Hash of all state that later decisions depend on, to compare engines. Linear in workers, jobs and tasks.
uint64_t digestOf(const EngineState&);

} // namespace hickoryknot
