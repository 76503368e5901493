#pragma once

#include "state/CommandResult.h"
#include "state/RequestCommands.h"
#include "state/RequestTracker.h"

namespace hickoryknot {

/// Apply the request commands, for both the cell and zones. Deterministic.
CommandResult startRequest(RequestTracker&, const StartRequest&, UnixMs nowMs);
CommandResult endRequest(RequestTracker&, const EndRequest&, UnixMs nowMs);

} // namespace hickoryknot
