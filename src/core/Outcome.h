#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hickoryknot {

/// What became of a request or job. The set is closed.
enum class OutcomeKind {
    Done, // Ran to the end; the answer is whole.
    Accepted, // Recorded; ask for it by its id.
    NotRun, // Never started.
    Refused, // Can never run; the sentence names the constraint.
    Cancelled, // Stopped at the caller's wish.
    Unknown, // May have run.
};

/// Wire form: done, accepted, not_run, refused, cancelled, unknown.
const char* outcomeKindName(OutcomeKind);
std::optional<OutcomeKind> parseOutcomeKind(std::string_view);

/// An outcome with its reason: a code for programs, a sentence for people, the answer of the backend server if any.
struct Outcome {
    OutcomeKind kind { OutcomeKind::Unknown };
    std::string reason;
    std::string message;
    std::string response;

    friend bool operator==(const Outcome&, const Outcome&) = default;
};

} // namespace hickoryknot
