#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <vector>

#include "consensus/EvidenceTable.h"
#include "consensus/LogBuffer.h"
#include "consensus/OutgoingMessage.h"
#include "consensus/PeerProgress.h"
#include "consensus/ReplicatedLogSettings.h"
#include "log/WriteBatch.h"

namespace hickoryknot {

/// The Raft state of one member, with pre-vote, check-quorum, leader leases and store identities. Performs no I/O and
/// reads no clock, so the same calls give the same results. Not thread safe.
///
/// The owner calls step() and tick(), makes the batches of popWriteBatch() durable in order and reports them to
/// onPersisted(), sends drainMessages() and applies drainCommitted().
class ReplicatedLog {
public:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    ReplicatedLog(ReplicatedLogSettings, TimePoint now);

    /// Handles a message from another member. Drops messages of other groups, other receivers, older generations and
    /// superseded incarnations.
    void step(const LogMessage&, TimePoint now);

    /// Handles timeouts; to be called at least every 10 ms.
    void tick(TimePoint now);

    /// Appends an entry and returns its index. NotLeader: this host does not lead; the message names the leader.
    Expected<LogIndex> propose(std::string payload, TimePoint now);

    /// Starts a heartbeat round for a linearizable read (ReadIndex) and returns its number. The read may be served once
    /// confirmedRound() has reached it and readIndex() as of this call is applied. NotLeader: as in propose().
    /// Unavailable: no entry of this term is committed yet.
    Expected<uint64_t> startReadRound(TimePoint now);
    uint64_t confirmedRound() const;
    /// The commit index.
    LogIndex readIndex() const { return m_commitIndex; }

    /// Appends a configuration entry and returns its index. Errors: NotLeader; Conflict: another change is not
    /// committed yet; NotFound: promotion or removal of a host that is not a member; InvalidArgument: promotion of a
    /// host without a disk or removal of the last voter; Unavailable: no entry of this term is committed yet or the
    /// learner has not caught up.
    Expected<LogIndex> addMember(const HostId&, bool isVoter, TimePoint now);
    Expected<LogIndex> removeMember(const HostId&, TimePoint now);
    Expected<LogIndex> promote(const HostId&, TimePoint now);

    /// Transfers leadership to a voter and rejects proposals meanwhile; aborted after electionMax. NotLeader;
    /// InvalidArgument: the host is not another voter; Unavailable: the voter has not confirmed that it may vote.
    Expected<void> transferLeadership(const HostId&, TimePoint now);

    /// Disaster recovery: forces a new configuration with one surviving voter and fences all terms of lower
    /// generations. Calls with the current or a lower generation change nothing. InvalidArgument: not exactly one
    /// voter, or generation 0. Unavailable: this host is to be the voter but has no copy of the log as a voter.
    Expected<void> replaceMembers(uint64_t generation, const std::vector<InitialMember>&, TimePoint now);

    /// The next batch to make durable, if any. Batches must be written in order.
    std::optional<WriteBatch> popWriteBatch();

    /// All batches up to this sequence number are durable.
    void onPersisted(uint64_t sequence, TimePoint now);

    /// The store received a new store id.
    void onIdentityRenewed(const StoreIdentity&);

    /// The store has failed: this host no longer votes or acknowledges and continues as an in-memory learner.
    void onStorageFailed(TimePoint now);

    /// The failed store can be written again: the next batch contains all that this host knows. Once it is durable and
    /// other members have confirmed that the store is up to date, this host votes and acknowledges again.
    void onStorageRepaired(const StoreIdentity&);

    /// Removes and returns the messages whose preceding writes are durable.
    std::vector<OutgoingMessage> drainMessages();

    /// Committed entries since the last call, in order.
    std::vector<LogEntry> drainCommitted();

    /// A snapshot from the leader that must replace the state, if one was received. Later committed entries follow it.
    std::optional<Snapshot> popInstalledSnapshot();

    /// Stores a snapshot of the state at `index`, an index returned by drainCommitted(), and compacts the log.
    /// Returns false, and changes nothing, while a snapshot from the leader is not yet durable.
    bool recordSnapshot(LogIndex index, std::shared_ptr<const std::string> data);

    Role role() const { return m_role; }
    bool isLeader() const { return m_role == Role::Leader; }
    std::optional<HostId> leader() const;
    Term term() const { return m_term; }
    LogIndex commitIndex() const { return m_commitIndex; }
    LogIndex lastIndex() const { return m_log.lastIndex(); }
    size_t logBytes() const { return m_log.payloadBytes(); }
    LogIndex firstIndex() const { return m_log.baseIndex() + 1; }
    std::optional<Term> termAt(LogIndex index) const { return m_log.termAt(index); }
    const std::optional<Snapshot>& snapshot() const { return m_log.snapshot(); }
    const Membership& membership() const { return m_membership; }

    /// Time of the last message from the leader; on the leader, the send time of the latest round that a quorum
    /// acknowledged. One hour before the start if there was none.
    TimePoint lastLeaderContact() const;

    /// True if this host holds the leader lease, so that no other host can have been elected: a quorum acknowledged
    /// messages sent less than electionMin - leaseMargin ago, and an entry of this term is committed.
    bool hasLeaderLease(TimePoint now) const;

    /// True if this host may vote: a voter with this store, whose store is up to date.
    bool mayVote() const;

    /// True if other members have evidence of later acknowledgements than this store has: an older copy of the disk.
    bool isIdentityOutdated() const { return m_identityState == IdentityState::Outdated; }

    const StoreIdentity& identity() const { return m_settings.identity; }

private:
    enum class IdentityState {
        Unconfirmed, // Other members have not yet confirmed that the store is up to date.
        Confirmed,
        Outdated,
    };
    struct PendingMessage {
        uint64_t sequence; // The write that must be durable before sending; 0 for none.
        OutgoingMessage message;
    };
    struct MembershipAt {
        LogIndex index;
        Membership membership;
    };
    struct IncomingSnapshot {
        LogIndex index { 0 };
        Term term { 0 };
        std::string data;
    };

    /// A repaired store that does not hold the log again yet.
    struct RepairedStore {
        StoreIdentity identity;
        uint64_t sequence { 0 }; // The batch that writes the whole log.
        IdentityCheck content; // What the store holds once that batch is durable.
    };

    // Startup and identities (ReplicatedLogIdentity.cpp).
    void beginIdentityCheck(const IdentityCheck&, TimePoint now);
    void finishStorageRepair(TimePoint now);
    void sendIdentityChecks(TimePoint now);
    void evaluateIdentity(TimePoint now);
    void handle(const IdentityCheck&, const LogMessage&, TimePoint now);
    void handle(const IdentityCheckResponse&, const LogMessage&, TimePoint now);
    bool mayCampaign() const;
    bool isKnownIdentity(const HostId&, StoreId) const;
    bool isEligibleVoter(const HostId&, StoreId) const;
    void recordEvidence(const HostId&, const StoreIdentity&, Term, LogIndex);

    // Elections (ReplicatedLogElection.cpp).
    void handle(const VoteRequest&, const LogMessage&, TimePoint now);
    void handle(const VoteResponse&, const LogMessage&, TimePoint now);
    void handle(const TimeoutNow&, const LogMessage&, TimePoint now);
    void startPreVote(TimePoint now);
    void startElection(bool isTransfer, TimePoint now);
    void requestVotes(bool isPreVote, bool isTransfer, uint64_t afterSequence);
    bool hasVoteQuorum() const;
    void countOwnVote(TimePoint now);
    bool isAcceptableCandidate(const VoteRequest&, const LogMessage&) const;
    void becomeFollower(Term, const HostId& leader, TimePoint now);
    void becomeLeader(TimePoint now);
    Duration randomUpTo(Duration limit);
    void resetElectionTimeout(TimePoint now);
    void checkQuorum(TimePoint now);
    bool isLeaderAlive(TimePoint now) const;

    // Replication (ReplicatedLogReplication.cpp).
    void handle(const AppendRequest&, const LogMessage&, TimePoint now);
    void handle(const AppendResponse&, const LogMessage&, TimePoint now);
    void handle(const SnapshotChunk&, const LogMessage&, TimePoint now);
    void handle(const SnapshotResponse&, const LogMessage&, TimePoint now);
    bool acceptLeader(const LogMessage&, TimePoint now);
    void rejectAppend(const AppendRequest&, const LogMessage&);
    void acknowledge(const HostId& leader, LogIndex match, uint64_t round);
    void storeEntries(const AppendRequest&);
    void truncateLogFrom(LogIndex);
    void installSnapshot(const SnapshotChunk&);
    void handleRejection(PeerProgress&, const AppendResponse&);
    LogIndex appendAsLeader(EntryKind, std::string payload);
    void advanceCommit(TimePoint now);
    PeerProgress* recordResponse(const LogMessage&, uint64_t round);
    void startRound(TimePoint now);
    void replicateToPeers();
    void replicateTo(const HostId&, PeerProgress&);
    void sendEntries(const HostId&, PeerProgress&);
    void sendSnapshotChunk(const HostId&, PeerProgress&);

    // Members (ReplicatedLogMembers.cpp).
    Expected<void> checkChangeAllowed() const;
    LogIndex appendMembership(Membership, TimePoint now);
    void syncPeers();
    void replaceChangedStore(TimePoint now);
    void promoteCaughtUp(TimePoint now);
    void bindStores(TimePoint now);
    void stepDownIfRemoved(TimePoint now);
    bool isCaughtUp(const PeerProgress&) const;
    void continueTransfer(TimePoint now);

    // Common.
    void setTerm(Term, const HostId& votedFor);
    uint64_t nextWriteSequence() const { return m_lastBatchSequence + (hasUnwritten() ? 1 : 0); }
    bool hasUnwritten() const;
    void send(const HostId&, LogMessageBody, uint64_t afterSequence);
    bool mayAcknowledge() const;
    bool mustWaitForLeader() const;
    TimePoint quorumSendTime(TimePoint now) const;
    // The highest value that a majority of the voters has reached; `own` is the value of this host.
    template <typename Value, typename ValueOf> Value quorumValue(Value own, Value missing, ValueOf) const;
    tl::unexpected<Error> notLeader() const;
    void rebuildMembership();
    bool hasCommittedInCurrentTerm() const { return m_log.termAt(m_commitIndex) == m_term; }

    // Settings.
    ReplicatedLogSettings m_settings;
    pcg32 m_random;

    // Persistent state, including writes that are still pending.
    Term m_term { 0 };
    HostId m_votedFor;
    EvidenceTable m_evidence;
    LogBuffer m_log;

    // Progress of the writes.
    bool m_isHardStateChanged { false };
    uint64_t m_hardStateSequence { 0 }; // The write that makes the current term and vote durable.
    LogIndex m_unwrittenFrom { 1 }; // First entry not yet in a write batch.
    bool m_isSnapshotUnwritten { false };
    bool m_isLogReset { false };
    bool m_isIdentityRenewalPending { false };
    uint64_t m_lastBatchSequence { 0 };
    uint64_t m_persistedSequence { 0 };
    LogIndex m_persistedIndex { 0 };
    std::deque<std::pair<uint64_t, LogIndex>> m_writesInFlight; // Sequence and last index of each.
    TimePoint m_evidenceWriteDeadline;
    bool m_isEvidenceChanged { false };

    // Role and commit state.
    Role m_role { Role::Follower };
    HostId m_leader;
    LogIndex m_commitIndex { 0 };
    LogIndex m_drainedIndex { 0 };
    std::optional<Snapshot> m_installed;
    Membership m_membership; // The latest in the log, committed or not.
    std::vector<MembershipAt> m_membershipHistory; // From the snapshot and the entries; ascending.
    std::optional<Membership> m_forcedMembership; // From replaceMembers() until the log has the new member list.
    TimePoint m_now;
    TimePoint m_lastLeaderContact;
    TimePoint m_voteRefusalEnd; // A restarted voter may have supported a leader lease before the restart.
    TimePoint m_electionDeadline;

    // Right to vote after a start.
    IdentityState m_identityState { IdentityState::Confirmed };
    IdentityCheck m_identityCheck;
    bool m_isBootstrapForbidden {
        false
    }; // Other members have a log and this host has none: it must not become leader.
    TimePoint m_identityGraceEnd;
    TimePoint m_nextIdentityCheckAt;
    std::set<HostId> m_identityResponders;
    std::optional<RepairedStore> m_repairedStore;
    std::optional<Term> m_recoveredTerm; // The term found on disk, in which no new vote is granted.

    // Candidate and leader.
    std::set<HostId> m_votes;
    uint64_t m_ownVoteSequence { 0 }; // The write that makes the vote for this host durable.
    std::map<HostId, PeerProgress> m_peers;
    uint64_t m_round { 0 };
    std::deque<std::pair<uint64_t, TimePoint>> m_roundTimes;
    bool m_isRoundRequested { false };
    TimePoint m_nextHeartbeatAt;
    TimePoint m_nextLearnerHeartbeatAt;
    TimePoint m_leaderSince;
    HostId m_transferTarget;
    bool m_hasSentTimeoutNow { false }; // TimeoutNow was sent in this term: an election may bypass the leader lease.
    TimePoint m_transferEnd;

    std::optional<IncomingSnapshot> m_incoming;
    std::vector<PendingMessage> m_outbox;
};

template <typename Value, typename ValueOf>
Value ReplicatedLog::quorumValue(Value own, Value missing, ValueOf valueOf) const
{
    std::vector<Value> values;
    for (const auto& member : m_membership.members()) {
        if (!member.isVoter)
            continue;
        const auto peer = m_peers.find(member.host);
        if (member.host == m_settings.self)
            values.push_back(m_membership.isVoter(member.host, m_settings.identity.store) ? own : missing);
        else if (peer != m_peers.end() && peer->second.isVoting
            && isEligibleVoter(member.host, peer->second.identity.store))
            values.push_back(valueOf(peer->second));
    }
    if (values.size() < m_membership.quorum())
        return missing;
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[m_membership.quorum() - 1];
}

} // namespace hickoryknot
