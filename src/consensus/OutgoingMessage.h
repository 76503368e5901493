#pragma once

#include "consensus/LogMessage.h"

namespace hickoryknot {

/// A message that may be sent now. The transport may lose, delay, duplicate and reorder messages.
struct OutgoingMessage {
    HostId to;
    LogMessage message;
};

} // namespace hickoryknot
