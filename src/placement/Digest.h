#pragma once

#include <cstdint>

#include "placement/EngineState.h"

namespace hickoryknot {

/// Hash over everything that later decisions depend on. Linear in workers, jobs and tasks.
uint64_t digestOf(const EngineState&);

} // namespace hickoryknot
