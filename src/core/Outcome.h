#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hickoryknot {

/// Outcome of a request or job as its caller sees it. The set is closed.
enum class OutcomeKind {
    Done, // Ran to completion; the response is complete.
    Accepted, // Recorded; its state can be queried by its id.
    NotRun, // Never started.
    Refused, // Can never run; the message names the constraint.
    Cancelled, // Stopped on the caller's request.
    Unknown, // May have run.
};

/// Name on the wire: done, accepted, not_run, refused, cancelled, unknown.
const char* outcomeKindName(OutcomeKind);
std::optional<OutcomeKind> parseOutcomeKind(std::string_view);

/// Outcome with a reason code for programs, a message for people and the response of the backend server, if any.
struct Outcome {
    OutcomeKind kind { OutcomeKind::Unknown };
    std::string reason;
    std::string message;
    std::string response;

    friend bool operator==(const Outcome&, const Outcome&) = default;
};

} // namespace hickoryknot
