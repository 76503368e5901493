#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hickoryknot {

/// A command to propose to a log. The caller passes the token back with the result, or with the error if the command
/// was not accepted. After Unavailable, Timeout and NotLeader the command may still take effect later.
struct Proposal {
    uint64_t token { 0 };
    /// Encoded CellCommand or ZoneCommand.
    std::string payload {};
};

/// Proposals of one tick of a scheduler or controller.
struct ProposalBatch {
    /// For the log of the scheduler's zone, in this order.
    std::vector<Proposal> zone {};
    /// For the cell's log, to be forwarded by any host.
    std::vector<Proposal> cell {};

    bool isEmpty() const { return zone.empty() && cell.empty(); }
};

} // namespace hickoryknot
