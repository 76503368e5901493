#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "core/Error.h"

namespace hickoryknot {

/// Parses CBOR that consists of arrays and scalar values. InvalidArgument: it is not that, or has arrays nested more
/// than `maxDepth` levels deep.
Expected<nlohmann::json> parseCborArrays(std::string_view bytes, size_t maxDepth);

} // namespace hickoryknot
