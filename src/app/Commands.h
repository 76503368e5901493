#pragma once

namespace hickoryknot {

/// Exit codes of every command; docs/operators.md lists them.
enum class ExitCode : int {
    Success = 0,
    Failure = 1, // No entry host answered, or it failed.
    Usage = 2, // A flag, argument or setting is wrong.
    NotRun = 3,
    Refused = 4,
    Cancelled = 5,
    Unknown = 6,
    Conflict = 7, // The table has another version than the change was based on.
};

/// Runs the command named by argv[1], including serve and load, and returns the exit code.
int runCommand(int argc, char** argv);

} // namespace hickoryknot
