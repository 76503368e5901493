#pragma once

#include "state/CommandResult.h"
#include "state/RequestBook.h"
#include "state/RequestCommands.h"

namespace hickoryknot {

/// What the commands for requests do to a home's book; the same for the cell and for zones. Deterministic.
CommandResult startRequest(RequestBook&, const StartRequest&, UnixMs nowMs);
CommandResult endRequest(RequestBook&, const EndRequest&, UnixMs nowMs);

} // namespace hickoryknot
