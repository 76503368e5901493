#pragma once

#include <memory>
#include <string>

#include "log/LogEntry.h"

namespace hickoryknot {

/// State of a state machine after the entry `index`, with the members in force there. The bytes are shared, never
/// changed.
struct Snapshot {
    LogIndex index { 0 };
    Term term { 0 };
    std::string members; // As written by encodeMembership().
    std::shared_ptr<const std::string> data;
};

} // namespace hickoryknot
