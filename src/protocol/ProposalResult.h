#pragma once

#include <cstdint>
#include <string>

namespace hickoryknot {

/// Result of a forwarded proposal after it was committed and applied.
struct ProposalResult {
    /// Log index of the command.
    uint64_t index { 0 };
    /// Encoded result, any bytes.
    std::string result;

    friend bool operator==(const ProposalResult&, const ProposalResult&) = default;
};

} // namespace hickoryknot
