#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/JobSubmission.h"

namespace hickoryknot {

/// Body of `POST /v1/jobs` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodeJobSubmission(const JobSubmission&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<JobSubmission> decodeJobSubmission(std::string_view);

} // namespace hickoryknot
