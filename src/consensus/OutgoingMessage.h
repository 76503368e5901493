#pragma once

#include "consensus/LogMessage.h"

namespace hickoryknot {

/// A message that may be sent now. Messages may be lost, delayed, repeated and reordered.
struct OutgoingMessage {
    HostId to;
    LogMessage message;
};

} // namespace hickoryknot
