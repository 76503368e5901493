#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/JobStatus.h"

namespace hickoryknot {

/// Response to `GET /v1/jobs/{id}` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodeJobStatus(const JobStatus&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<JobStatus> decodeJobStatus(std::string_view);

} // namespace hickoryknot
