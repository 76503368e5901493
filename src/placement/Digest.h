#pragma once

#include <cstdint>

#include "placement/EngineState.h"

namespace hickoryknot {

/// Hash of the placement state, to compare engines. Leaves out the caches and some minor state, such as
/// PlacementWorker::probeDelay and JobRecord::taskFailures. Linear in workers, jobs and tasks.
uint64_t digestOf(const EngineState&);

} // namespace hickoryknot
