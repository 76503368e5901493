#pragma once

#include <string>

#include "core/Time.h"

namespace hickoryknot {

/// Text in quotation marks, for outcome messages.
inline std::string quoted(const std::string& text) { return "\"" + text + "\""; }

/// Duration in whole milliseconds with the unit, for outcome messages.
inline std::string formatMillis(Duration duration) { return std::to_string(duration.count() / 1000) + " ms"; }

} // namespace hickoryknot
