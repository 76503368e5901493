#pragma once

#include "app/Commands.h"

namespace hickoryknot {

class CommandContext;

/// Commands of callers: sending requests, and submitting, querying and cancelling jobs.
ExitCode runRequestCommand(CommandContext&);
ExitCode runSubmitCommand(CommandContext&);
ExitCode runStatusCommand(CommandContext&);
ExitCode runWaitCommand(CommandContext&);
ExitCode runCancelCommand(CommandContext&);
ExitCode runExplainCommand(CommandContext&);

} // namespace hickoryknot
