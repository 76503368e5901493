#pragma once

#include "app/Commands.h"

namespace hickoryknot {

class CommandContext;

/// `table get|set|check|remove|export|import`.
ExitCode runTableCommand(CommandContext&);

} // namespace hickoryknot
