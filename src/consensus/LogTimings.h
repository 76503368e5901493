#pragma once

#include "core/Time.h"

namespace hickoryknot {

/// Intervals and timeouts of a replicated log. Without a split vote a new leader is elected within about electionMax
/// plus two round trips and two syncs after the loss of the old one.
struct LogTimings {
    Duration heartbeat { 75ms };
    Duration learnerHeartbeat { 300ms }; // Learners do not vote; heartbeats dominate the idle load with many learners.
    /// Maximum delay before followers are sent a new commit index on its own. Without a delay each batch costs two
    /// messages per member; with it the commit index goes with the next entries or heartbeat.
    Duration commitDelay { 0 };
    Duration electionMin { 300ms }; // A voter that had leader contact within this time grants no vote.
    Duration electionMax { 600ms };
    Duration leaseMargin { 30ms }; // Clock drift allowance: the leader lease lasts electionMin - leaseMargin.
    Duration identityCheckTimeout { 400ms }; // How long a restarted voter waits for members that do not respond.
};

} // namespace hickoryknot
