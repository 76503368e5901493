#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/WorkerHeartbeat.h"

namespace hickoryknot {

/// Body of `POST /v1/workers/heartbeat` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodeWorkerHeartbeat(const WorkerHeartbeat&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<WorkerHeartbeat> decodeWorkerHeartbeat(std::string_view);

} // namespace hickoryknot
