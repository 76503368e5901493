#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/WorkRequest.h"

namespace hickoryknot {

/// Body of `POST /work` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodeWorkRequest(const WorkRequest&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<WorkRequest> decodeWorkRequest(std::string_view);

} // namespace hickoryknot
