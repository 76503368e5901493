#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"

namespace hickoryknot {

struct ZoneExchange;
struct ZoneExchangeReply;

/// JSON bodies of `POST /internal/zone` and its response. docs/protocol.md lists the fields, units and limits. Errors
/// are InvalidArgument or TooLarge; the message names the field and the allowed range.
std::string encodeZoneExchange(const ZoneExchange&);
Expected<ZoneExchange> decodeZoneExchange(std::string_view);
std::string encodeZoneExchangeReply(const ZoneExchangeReply&);
Expected<ZoneExchangeReply> decodeZoneExchangeReply(std::string_view);

} // namespace hickoryknot
