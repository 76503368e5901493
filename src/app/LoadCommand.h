#pragma once

namespace hickoryknot {

/// `hickoryknot load`: sends requests, and optionally jobs, at a fixed rate and prints outcomes and latencies.
/// `argv[0]` is the command's name. Returns 0, or 2 for bad options.
int runLoadCommand(int argc, char** argv);

} // namespace hickoryknot
