#pragma once

#include <string_view>

namespace hickoryknot {

/// True if the bytes are well-formed UTF-8 and so can be put into a JSON string.
bool isUtf8(std::string_view);

} // namespace hickoryknot
