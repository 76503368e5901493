#pragma once

#include <nlohmann/json_fwd.hpp>

#include "protocol/ServerHeartbeat.h"

namespace hickoryknot {

class ObjectReader;

/// A server heartbeat as an object inside a larger message.
nlohmann::json serverHeartbeatToJson(const ServerHeartbeat&);
ServerHeartbeat readServerHeartbeat(ObjectReader&);

} // namespace hickoryknot
