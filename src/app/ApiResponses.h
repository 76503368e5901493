#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

HttpResponse jsonResponse(std::string body, int status = 200);

HttpResponse errorResponse(const Error&);

/// Returns the value of a query parameter, or an empty string if it is missing. Values are not unescaped, since the API
/// has none that need it.
std::string queryValue(const std::string& query, std::string_view name);

} // namespace hickoryknot
