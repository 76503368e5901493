#pragma once

#include "app/Commands.h"

namespace hickoryknot {

class CommandContext;

/// Commands that show the cell and drain hosts.
ExitCode runHostsCommand(CommandContext&);
ExitCode runWorkersCommand(CommandContext&);
ExitCode runServersCommand(CommandContext&);
ExitCode runDrainCommand(CommandContext&);
ExitCode runReportCommand(CommandContext&);

} // namespace hickoryknot
