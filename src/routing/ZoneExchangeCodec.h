#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"

namespace hickoryknot {

struct ZoneExchangeRequest;
struct ZoneExchangeResponse;

/// JSON bodies of `POST /internal/zone` and its response. docs/protocol.md lists the fields, units and limits. Errors
/// are InvalidArgument or TooLarge; the message names the field and the allowed range.
std::string encodeZoneExchangeRequest(const ZoneExchangeRequest&);
Expected<ZoneExchangeRequest> decodeZoneExchangeRequest(std::string_view);
std::string encodeZoneExchangeResponse(const ZoneExchangeResponse&);
Expected<ZoneExchangeResponse> decodeZoneExchangeResponse(std::string_view);

} // namespace hickoryknot
