#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/ForwardedProposal.h"

namespace hickoryknot {

/// Body of `POST /internal/propose/{cell|zone}` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodeForwardedProposal(const ForwardedProposal&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<ForwardedProposal> decodeForwardedProposal(std::string_view);

} // namespace hickoryknot
