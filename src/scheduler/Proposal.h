#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hickoryknot {

/// A command to propose to a log. The caller returns the token with the result, or with the error if it was not
/// accepted. Unavailable, Timeout and NotLeader results leave open whether the command takes effect later.
struct Proposal {
    uint64_t token { 0 };
    /// Encoded CellCommand or ZoneCommand.
    std::string payload {};
};

/// What a scheduler or controller wants recorded.
struct ProposalBatch {
    /// For the own zone's log, in this order.
    std::vector<Proposal> zone {};
    /// For the cell's log, through any host.
    std::vector<Proposal> cell {};

    bool isEmpty() const { return zone.empty() && cell.empty(); }
};

} // namespace hickoryknot
