#pragma once

#include <cstdint>
#include <string_view>

namespace hickoryknot {

/// Stable 64-bit hash (XXH3), equal on all hosts and in all versions; may be stored and sent.
uint64_t hashBytes(std::string_view);

} // namespace hickoryknot
