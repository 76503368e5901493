#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"

namespace hickoryknot {

/// `{"error":{"code","message"}}`.
std::string encodeError(const Error&);

/// Decodes the body of a response with status 400 or higher. Returns Unavailable if the body is not an error document.
Error decodeError(std::string_view);

/// HTTP status code for this error.
int httpStatus(ErrorCode);

} // namespace hickoryknot
