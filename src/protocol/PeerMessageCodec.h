#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "protocol/PeerMessage.h"

namespace hickoryknot {

/// Body of `POST /internal/peer` as JSON. docs/protocol.md lists fields, units and limits.
std::string encodePeerMessage(const PeerMessage&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<PeerMessage> decodePeerMessage(std::string_view);

} // namespace hickoryknot
