#pragma once

#include <string>

#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// For example "4 cores, 8192 MiB and 1 accelerator"; zero parts are left out.
std::string formatResources(const Resources&);
/// Like formatResources(), with "any number of" for dimensions without a limit.
std::string formatQuota(const Resources&);
/// For example "350 ms", "12 s", "3 min" or "2 h 5 min".
std::string formatRoundedDuration(Duration);

} // namespace hickoryknot
