#pragma once

#include <memory>
#include <string>

#include "log/LogEntry.h"

namespace hickoryknot {

/// State of a state machine after applying the entry `index`, with the membership at that index. The bytes are shared
/// and immutable.
struct Snapshot {
    LogIndex index { 0 };
    Term term { 0 };
    std::string members; // As written by encodeMembership().
    std::shared_ptr<const std::string> data;
};

} // namespace hickoryknot
