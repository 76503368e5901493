#pragma once

namespace hickoryknot {

/// Subcommands of the simulator program. Each runs until SIGTERM or SIGINT and returns the exit code; 2 for bad
/// options.
int runServerCommand(int argc, char** argv);
int runWorkerCommand(int argc, char** argv);
int runLinkCommand(int argc, char** argv);

} // namespace hickoryknot
