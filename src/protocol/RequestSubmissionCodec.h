#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/RequestSubmission.h"

namespace hickoryknot {

/// Body of `POST /v1/requests` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodeRequestSubmission(const RequestSubmission&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<RequestSubmission> decodeRequestSubmission(std::string_view);

} // namespace hickoryknot
