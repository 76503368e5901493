#pragma once

#include <string>

#include "core/Time.h"

namespace hickoryknot {

/// Text in quotation marks, for sentences.
inline std::string quoted(const std::string& text) { return "\"" + text + "\""; }

/// Whole milliseconds with their unit, for sentences.
inline std::string millis(Duration duration) { return std::to_string(duration.count() / 1000) + " ms"; }

} // namespace hickoryknot
