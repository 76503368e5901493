#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/PeerReply.h"

namespace hickoryknot {

/// Response to `POST /internal/peer` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodePeerReply(const PeerReply&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<PeerReply> decodePeerReply(std::string_view);

} // namespace hickoryknot
