#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Outcome.h"
#include "table/TableChange.h"

namespace hickoryknot {

/// The command was applied.
struct CommandDone { };

/// A job was recorded, by this command or by an earlier one with the same request id.
struct JobAccepted {
    JobId job {};
};

/// The proposing host may send the request to a backend server, once.
struct RequestStarted { };

/// The request id was seen before with the same content.
struct RequestKnown {
    /// True if the request was started and has no outcome yet.
    bool isRunning { false };
    Outcome outcome {};
};

/// One value per entry of the command, in order: 0 if skipped, else the epoch that was assigned or ended.
struct BatchDone {
    std::vector<uint64_t> epochs {};
};

/// Result of applying a command, returned to its proposer.
using CommandResult
    = std::variant<CommandDone, JobAccepted, RequestStarted, RequestKnown, BatchDone, TableChangeResult, Error>;

std::string encodeCommandResult(const CommandResult&);
/// Corrupt: not an encoded result.
Expected<CommandResult> decodeCommandResult(std::string_view);

} // namespace hickoryknot
