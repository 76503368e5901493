#pragma once

#include "app/Commands.h"

namespace hickoryknot {

/// `hickoryknot serve`: runs an entry host until its graceful shutdown has completed.
ExitCode runServeCommand(int argc, char** argv);

} // namespace hickoryknot
