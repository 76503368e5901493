#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "core/Error.h"

namespace hickoryknot {

/// Parses one JSON object under the limits of ProtocolLimits.h. Rejects duplicate field names, since parsers
/// disagree on which one to use. InvalidArgument: not JSON. TooLarge: over a limit.
Expected<nlohmann::json> parseDocument(std::string_view text, size_t maxBytes);

/// Compact JSON. Invalid UTF-8 is replaced; use putBytes() for fields with arbitrary bytes.
std::string writeDocument(const nlohmann::json&);

/// Sets the field `name`, or `name`Base64 if the bytes are not UTF-8.
void putBytes(nlohmann::json& object, const char* name, const std::string& bytes);

} // namespace hickoryknot
