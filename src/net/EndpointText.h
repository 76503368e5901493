#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

/// Parses `address:port`, with a numeric IPv4 address or an IPv6 address in brackets. InvalidArgument: anything else.
Expected<Endpoint> parseEndpoint(std::string_view);

/// Parses a comma-separated list. InvalidArgument: an invalid element or an empty list.
Expected<std::vector<Endpoint>> parseEndpoints(std::string_view);

/// Formats an endpoint so that parseEndpoint() can parse it.
std::string formatEndpoint(const Endpoint&);

} // namespace hickoryknot
