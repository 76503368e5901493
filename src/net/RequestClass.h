#pragma once

#include <string_view>

#include "net/MemoryPool.h"

namespace hickoryknot {

/// Chooses the pool of the memory budget for a request by its method and target.
using RequestClassifier = MemoryPool (*)(std::string_view method, std::string_view target);

} // namespace hickoryknot
