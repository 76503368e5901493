#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "core/Error.h"

namespace hickoryknot {

/// Parses one JSON object under the limits of ProtocolLimits.h. Refuses repeated field names, since readers disagree
/// on which one counts. InvalidArgument: not JSON. TooLarge: over a limit.
Expected<nlohmann::json> parseDocument(std::string_view text, size_t maxBytes);

/// Compact JSON. Bytes that are not UTF-8 are replaced; fields for arbitrary bytes go through putBytes().
std::string writeDocument(const nlohmann::json&);

/// Puts bytes into the field `name`, or as base64 into `name`Base64 when they are not UTF-8.
void putBytes(nlohmann::json& object, const char* name, const std::string& bytes);

} // namespace hickoryknot
