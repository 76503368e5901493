#pragma once

#include "app/Commands.h"

namespace hickoryknot {

/// `hickoryknot serve`: runs an entry host until a planned stop has ended.
ExitCode runServeCommand(int argc, char** argv);

} // namespace hickoryknot
