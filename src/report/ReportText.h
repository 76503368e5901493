#pragma once

#include <string>

#include "core/Time.h"

namespace hickoryknot {

/// Human-readable duration: "250 us", "1.5 ms", "12 s", "3 min 20 s", "5 h 10 min".
std::string formatDuration(Duration);

/// Date and time, for example "2026-12-04 05:06 UTC".
std::string formatWallTime(WallTime);

/// Share as a percentage: 0.123456 as "12.3%", shares below 0.01% but not zero as "<0.01%".
std::string formatPercent(double share);

/// Escapes text for HTML elements and quoted attributes.
std::string escapeHtml(const std::string&);

} // namespace hickoryknot
