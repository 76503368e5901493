#pragma once

#include <algorithm>
#include <string_view>

namespace hickoryknot {

/// True if the text is valid in a header field or request line: no control characters, which prevents header
/// injection.
inline bool isHeaderSafe(std::string_view text)
{
    return std::none_of(
        text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 32 || c == 127; });
}

/// True if the text is valid as a method, target or header name.
inline bool isHeaderToken(std::string_view text)
{
    return !text.empty() && isHeaderSafe(text) && text.find(' ') == std::string_view::npos;
}

} // namespace hickoryknot
