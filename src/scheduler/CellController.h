#pragma once

#include <memory>
#include <string>

#include "core/Error.h"
#include "core/Time.h"
#include "membership/HostRegistry.h"
#include "protocol/PeerMessage.h"
#include "scheduler/CellControllerSettings.h"
#include "scheduler/Proposal.h"
#include "scheduler/TableAcknowledgement.h"
#include "state/CellState.h"

namespace hickoryknot {

/// Leases granted in the response to one peer message; zero means none. The holder counts them from the time at which
/// it sent the message.
struct PeerLeaseGrant {
    Duration tableLease { 0 };
    Duration zoneLease { 0 };
};

/// Runs on the leader of the cell's replication group: grants zone and table leases, assigns jobs to zones, moves them
/// when a zone is lost, and records hosts. Deterministic and not thread safe.
class CellController {
public:
    /// The state must outlive the controller.
    CellController(CellControllerSettings, const CellState&);
    ~CellController();

    /// The host leads the cell's group in `term`, and the state includes all entries of earlier terms. The controller
    /// waits until leases that an earlier leader may have granted have expired.
    void becomeLeader(uint64_t term, TimePoint now);
    void resign();
    bool isLeader() const;
    /// As ZoneScheduler::leadershipConfirmed(), for zone and table leases.
    void onLeadershipConfirmed(TimePoint roundStartedAt);

    /// Handles a host's message and returns the leases to grant in the response.
    PeerLeaseGrant onPeerMessage(const PeerMessage&, TimePoint now);

    /// Returns the commands to propose. Must be called every 50 ms and after entries were applied.
    ProposalBatch tick(TimePoint now, WallTime wall);
    void onProposalResult(uint64_t token, const Expected<std::string>& result, TimePoint now);

    /// Which hosts have applied table version `version`. Call again after each peer message until the result is
    /// complete.
    TableAcknowledgement tableAcknowledgement(uint64_t version, TimePoint now) const;

    /// Describes the job's zone, how long it has been there, why it moved and what it waits for. NotFound: no such job.
    Expected<std::string> explainJob(const JobId&, TimePoint now, WallTime wall) const;
    const HostRegistry& hosts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hickoryknot
