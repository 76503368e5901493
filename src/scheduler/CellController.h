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

/// Leases granted in answer to one peer message; zero means none. The receiver counts from the moment it sent the
/// message.
struct PeerLeaseGrant {
    Duration tableLease { 0 };
    Duration zoneLease { 0 };
};

/// Runs on the leader of the cell's group: grants zone and table leases, assigns jobs to zones, moves them when a zone
/// is lost, and records hosts. Deterministic and not thread safe.
class CellController {
public:
    /// The state must outlive the controller.
    CellController(CellControllerSettings, const CellState&);
    ~CellController();

    /// The host leads the cell's group in `term` and the state holds all entries of earlier terms. Leases that an
    /// earlier leader may have granted are waited for.
    void becomeLeader(uint64_t term, TimePoint now);
    void resign();
    bool isLeader() const;
    /// As ZoneScheduler::leadershipConfirmed(), for zone and table leases.
    void onLeadershipConfirmed(TimePoint roundStartedAt);

    /// Takes a host's message and grants the leases that the answer carries.
    PeerLeaseGrant onPeerMessage(const PeerMessage&, TimePoint now);

    /// Returns what to propose. To be called every 50 ms and after entries were applied.
    ProposalBatch tick(TimePoint now, WallTime wall);
    void onProposalResult(uint64_t token, const Expected<std::string>& result, TimePoint now);

    /// Who has table version `version` in force. Ask again after each peer message until it is complete.
    TableAcknowledgement tableAcknowledgement(uint64_t version, TimePoint now) const;

    /// Where the job is, since when, why it moved and what it waits for, as sentences. NotFound: no such job.
    Expected<std::string> explainJob(const JobId&, TimePoint now, WallTime wall) const;
    const HostRegistry& hosts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hickoryknot
