#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/ServerHeartbeat.h"

namespace hickoryknot {

/// Body of `POST /v1/servers/heartbeat` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodeServerHeartbeat(const ServerHeartbeat&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<ServerHeartbeat> decodeServerHeartbeat(std::string_view);

} // namespace hickoryknot
