#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

/// Reads `address:port`, with a numeric IPv4 address or an IPv6 address in brackets. InvalidArgument: anything else.
Expected<Endpoint> parseEndpoint(std::string_view);

/// Reads a list separated by commas. InvalidArgument: a faulty element or an empty list.
Expected<std::vector<Endpoint>> parseEndpoints(std::string_view);

/// The form that parseEndpoint() reads.
std::string formatEndpoint(const Endpoint&);

} // namespace hickoryknot
