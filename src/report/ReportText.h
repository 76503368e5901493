#pragma once

#include <string>

#include "core/Time.h"

namespace hickoryknot {

/// A duration for people: "250 us", "1.5 ms", "12 s", "3 min 20 s", "5 h 10 min".
std::string durationText(Duration);

/// "2026-12-04 05:06 UTC".
std::string wallTimeText(WallTime);

/// 0.123456 as "12.3%"; shares that are not zero but tiny as "<0.01%".
std::string percentText(double share);

/// Text that is safe inside HTML elements and quoted attributes.
std::string htmlEscaped(const std::string&);

} // namespace hickoryknot
