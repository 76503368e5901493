#pragma once

#include <string>

#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// "4 cores, 8192 MiB and 1 accelerator"; parts that are zero are left out.
std::string describe(const Resources&);
/// Like describe(), with "any number of" where the quota has no limit.
std::string describeQuota(const Resources&);
/// "350 ms", "12 s", "3 min" or "2 h 5 min".
std::string describe(Duration);

} // namespace hickoryknot
