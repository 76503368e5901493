#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"

namespace hickoryknot {

/// `{"error":{"code","message"}}`.
std::string encodeError(const Error&);

/// The error that an answer with a status of 400 or more carries. A body that is no error document gives Unavailable
/// with a sentence that says so.
Error decodeError(std::string_view);

/// Status code of an answer that carries this error.
int httpStatus(ErrorCode);

} // namespace hickoryknot
