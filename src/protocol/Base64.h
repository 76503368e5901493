#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hickoryknot {

/// RFC 4648 base64 with padding.
std::string encodeBase64(std::string_view bytes);

/// Empty if the text is not canonical base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace hickoryknot
