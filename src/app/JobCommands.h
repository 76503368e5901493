#pragma once

#include "app/Commands.h"

namespace hickoryknot {

class CommandContext;

/// Commands of callers: a short request, jobs and what became of them.
ExitCode runRequestCommand(CommandContext&);
ExitCode runSubmitCommand(CommandContext&);
ExitCode runStatusCommand(CommandContext&);
ExitCode runWaitCommand(CommandContext&);
ExitCode runCancelCommand(CommandContext&);
ExitCode runExplainCommand(CommandContext&);

} // namespace hickoryknot
