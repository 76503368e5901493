#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/CancelBatch.h"

namespace hickoryknot {

/// Body of `POST /v1/jobs/cancel` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodeCancelBatch(const CancelBatch&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<CancelBatch> decodeCancelBatch(std::string_view);

} // namespace hickoryknot
