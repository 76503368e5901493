#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/WorkerInstructions.h"

namespace hickoryknot {

/// Response to `POST /v1/workers/heartbeat` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodeWorkerInstructions(const WorkerInstructions&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<WorkerInstructions> decodeWorkerInstructions(std::string_view);

} // namespace hickoryknot
