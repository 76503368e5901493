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

/// The command had its effect.
struct CommandDone { };

/// A new job was recorded, or the same request id had made it before.
struct JobAccepted {
    JobId job {};
};

/// The host that proposed the command may start the request now, once.
struct RequestStarted { };

/// The request id was seen before with the same content.
struct RequestKnown {
    /// True while it runs on another host and there is no outcome yet.
    bool isRunning { false };
    Outcome outcome {};
};

/// For each entry of a batch, in order: 0 for skipped, else the epoch that the entry got or ended.
struct BatchDone {
    std::vector<uint64_t> epochs {};
};

/// What a state answers to the proposer of a command.
using CommandResult
    = std::variant<CommandDone, JobAccepted, RequestStarted, RequestKnown, BatchDone, TableChangeResult, Error>;

std::string encodeCommandResult(const CommandResult&);
/// Corrupt: not an encoded result.
Expected<CommandResult> decodeCommandResult(std::string_view);

} // namespace hickoryknot
