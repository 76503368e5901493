#pragma once

namespace hickoryknot {

/// `hickoryknot load`: sends short requests, and jobs if asked, at a fixed rate and prints outcomes and latencies.
/// `argv[0]` is the command's name. Returns 0, or 2 for bad options.
int runLoadCommand(int argc, char** argv);

} // namespace hickoryknot
