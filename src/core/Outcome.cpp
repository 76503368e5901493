#include "core/Outcome.h"

#include <array>
#include <utility>

namespace hickoryknot {

namespace {

constexpr std::array<std::pair<OutcomeKind, const char*>, 6> kindNames { {
    { OutcomeKind::Done, "done" },
    { OutcomeKind::Accepted, "accepted" },
    { OutcomeKind::NotRun, "not_run" },
    { OutcomeKind::Refused, "refused" },
    { OutcomeKind::Cancelled, "cancelled" },
    { OutcomeKind::Unknown, "unknown" },
} };

} // namespace

const char* outcomeKindName(OutcomeKind kind)
{
    for (const auto& [candidate, name] : kindNames) {
        if (candidate == kind)
            return name;
    }
    return "unknown";
}

std::optional<OutcomeKind> parseOutcomeKind(std::string_view text)
{
    for (const auto& [kind, name] : kindNames) {
        if (text == name)
            return kind;
    }
    return std::nullopt;
}

} // namespace hickoryknot
