#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/ProposalResult.h"

namespace hickoryknot {

/// Response to `POST /internal/propose/{cell|zone}` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodeProposalResult(const ProposalResult&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<ProposalResult> decodeProposalResult(std::string_view);

} // namespace hickoryknot
