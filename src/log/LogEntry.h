#pragma once

#include <cstdint>
#include <string>

namespace hickoryknot {

/// Position in a replicated log; the first entry has index 1.
using LogIndex = uint64_t;

/// Election term. The upper bits hold the generation of the group, see generationOf().
using Term = uint64_t;

/// Bits of a term below the generation: 2^40 elections per generation.
inline constexpr unsigned termCounterBits = 40;

/// Number of forced membership replacements of the group.
constexpr uint64_t generationOf(Term term) { return term >> termCounterBits; }

/// The lowest term of a generation.
constexpr Term firstTermOf(uint64_t generation) { return generation << termCounterBits; }

enum class EntryKind : uint8_t {
    Payload = 0, // A command for the state machine.
    Members = 1, // A new member list.
    Empty = 2, // The first entry of a leader's term.
};

/// One entry of a replicated log.
struct LogEntry {
    LogIndex index { 0 };
    Term term { 0 };
    EntryKind kind { EntryKind::Payload };
    std::string payload;

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

} // namespace hickoryknot
