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

/// One member's part in a replicated log (Raft with pre-vote, check-quorum and identities). A pure state machine: no
/// threads, files, sockets or clock; the same calls give the same results. Not thread safe.
///
/// The owner calls step() and tick(), makes the batches of takeWrite() durable in order and reports them to
/// persisted(), sends takeMessages() and applies takeCommitted().
class ReplicatedLog {
public:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    ReplicatedLog(ReplicatedLogSettings, TimePoint now);

    /// Handles a message of another member. Messages of other groups, other receivers, older generations and superseded
    /// runs are dropped.
    void step(const LogMessage&, TimePoint now);

    /// Handles timeouts; to be called at least every 10 ms.
    void tick(TimePoint now);

    /// Appends an entry and returns its index. NotLeader: this host does not lead; the message names the leader.
    Expected<LogIndex> propose(std::string payload, TimePoint now);

    /// Starts a quorum round and returns its number. A read may be served once confirmedRound() has reached it and
    /// readIndex() as of this call is applied. NotLeader: as above; Unavailable: nothing of this term is committed yet.
    Expected<uint64_t> startReadRound(TimePoint now);
    uint64_t confirmedRound() const;
    /// The commit index.
    LogIndex readIndex() const { return m_commitIndex; }

    /// Appends a changed member list and returns its index. Errors: NotLeader; Conflict: another change is not
    /// committed yet; NotFound: promote or remove of a host that is no member; InvalidArgument: promote of a host
    /// without a disk or removal of the last voter; Unavailable: nothing of this term is committed yet or the learner
    /// is behind.
    Expected<LogIndex> addMember(const HostId&, bool isVoter, TimePoint now);
    Expected<LogIndex> removeMember(const HostId&, TimePoint now);
    Expected<LogIndex> promote(const HostId&, TimePoint now);

    /// Hands leadership to a voter and refuses proposals meanwhile; given up after electionMax. NotLeader;
    /// InvalidArgument: the host is no voter; Unavailable: its right to vote is not confirmed.
    Expected<void> transferLeadership(const HostId&, TimePoint now);

    /// Forms the group anew with one surviving voter; fences all terms of lower generations. Calls with the present or
    /// a lower generation change nothing. InvalidArgument: not exactly one voter.
    Expected<void> replaceMembers(uint64_t generation, const std::vector<InitialMember>&, TimePoint now);

    /// The next batch to make durable, if there is anything. Batches must be written in order.
    std::optional<WriteBatch> takeWrite();

    /// All batches up to this sequence number are durable.
    void persisted(uint64_t sequence, TimePoint now);

    /// The store took a new store id.
    void identityRenewed(const StoreIdentity&);

    /// The store has failed: this host votes and acknowledges no more and goes on as a learner in memory.
    void storageFailed(TimePoint now);

    /// Messages that are safe to send: whatever they promise is durable.
    std::vector<OutgoingMessage> takeMessages();

    /// Committed entries not taken before, in order.
    std::vector<LogEntry> takeCommitted();

    /// A snapshot from the leader that must replace the state, if one arrived. Committed entries taken later follow it.
    std::optional<Snapshot> takeInstalledSnapshot();

    /// Records a snapshot of the state after `index`, an index taken from takeCommitted(), and drops older entries.
    /// Returns false, and changes nothing, while a snapshot from the leader is not yet durable.
    bool snapshotTaken(LogIndex index, std::shared_ptr<const std::string> data);

    Role role() const { return m_role; }
    bool isLeader() const { return m_role == Role::Leader; }
    std::optional<HostId> leader() const;
    Term term() const { return m_term; }
    LogIndex commitIndex() const { return m_commitIndex; }
    LogIndex lastIndex() const { return m_log.lastIndex(); }
    LogIndex firstIndex() const { return m_log.baseIndex() + 1; }
    std::optional<Term> termAt(LogIndex index) const { return m_log.termAt(index); }
    const std::optional<Snapshot>& snapshot() const { return m_log.snapshot(); }
    const Membership& membership() const { return m_membership; }

    /// When a message of the leader last came in, or for a leader when a quorum last answered.
    /// One hour before the start if there was none.
    TimePoint lastLeaderContact() const;

    /// True if this host leads and no other host can have been elected: a quorum answered messages that were sent less
    /// than electionMin - leaseMargin ago, and an entry of this term is committed.
    bool hasReadableLeadership(TimePoint now) const;

    /// True if this host may vote: member with this store, and its disk is not behind.
    bool mayVote() const;

    /// True if other members know of later acknowledgements than this store holds: an older copy of the disk.
    bool isIdentityOutdated() const { return m_identityState == IdentityState::Outdated; }

    const StoreIdentity& identity() const { return m_settings.identity; }

private:
    enum class IdentityState {
        Unconfirmed, // Started; the others have not yet said whether the disk is up to date.
        Confirmed,
        Outdated,
    };
    struct PendingMessage {
        uint64_t sequence; // The write that must be durable first; 0 for none.
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

    // Startup and identities (ReplicatedLogIdentity.cpp).
    void sendIdentityChecks(TimePoint now);
    void evaluateIdentity(TimePoint now);
    void handle(const IdentityCheck&, const LogMessage&, TimePoint now);
    void handle(const IdentityVerdict&, const LogMessage&, TimePoint now);
    bool mayStand() const;
    bool isKnownIdentity(const HostId&, StoreId) const;
    bool isCountedVoter(const HostId&, StoreId) const;
    void noteEvidence(const HostId&, const StoreIdentity&, Term, LogIndex);

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
    void dropFrom(LogIndex);
    void installSnapshot(const SnapshotChunk&);
    void handleRejection(PeerProgress&, const AppendResponse&);
    LogIndex appendOwn(EntryKind, std::string payload);
    void advanceCommit(TimePoint now);
    PeerProgress* noteAnswer(const LogMessage&, uint64_t round);
    void startRound(TimePoint now);
    void sendPending();
    void sendTo(const HostId&, PeerProgress&);
    void sendEntries(const HostId&, PeerProgress&);
    void sendChunk(const HostId&, PeerProgress&);

    // Members (ReplicatedLogMembers.cpp).
    Expected<void> checkChangeAllowed() const;
    LogIndex appendMembership(Membership, TimePoint now);
    void membershipChanged();
    void replaceChangedStore(TimePoint now);
    void promoteCaughtUp(TimePoint now);
    void bindStores(TimePoint now);
    void stepDownIfRemoved(TimePoint now);
    bool isCaughtUp(const PeerProgress&) const;
    void continueTransfer(TimePoint now);

    // Common.
    void setTerm(Term, const HostId& votedFor);
    uint64_t nextWriteSequence() const { return m_takenSequence + (hasUnwritten() ? 1 : 0); }
    bool hasUnwritten() const;
    void send(const HostId&, LogMessageBody, uint64_t afterSequence);
    bool maySendPromises() const;
    bool mustWaitForLeader() const;
    TimePoint quorumSendTime(TimePoint now) const;
    // The highest value that a majority of the voters has reached; own is this host's.
    template <typename Value, typename ValueOf> Value quorumValue(Value own, Value missing, ValueOf) const;
    tl::unexpected<Error> notLeader() const;
    void rebuildMembership();
    bool isCommittedInOwnTerm() const { return m_log.termAt(m_commitIndex) == m_term; }

    // Settings.
    ReplicatedLogSettings m_settings;
    pcg32 m_random;

    // Durable state, as it will be once the pending writes are done.
    Term m_term { 0 };
    HostId m_votedFor;
    EvidenceTable m_evidence;
    LogBuffer m_log;

    // Progress of the writes.
    bool m_isHardStateChanged { false };
    uint64_t m_hardStateSequence { 0 }; // The write that makes the present term and vote durable.
    LogIndex m_unwrittenFrom { 1 }; // First entry not yet handed to a write.
    bool m_isSnapshotUnwritten { false };
    bool m_isLogRestarted { false };
    bool m_isRenewalWanted { false };
    uint64_t m_takenSequence { 0 };
    uint64_t m_persistedSequence { 0 };
    LogIndex m_persistedIndex { 0 };
    std::deque<std::pair<uint64_t, LogIndex>> m_writesInFlight; // Sequence and last index of each.
    TimePoint m_evidenceWriteDue;
    bool m_isEvidenceChanged { false };

    // Position and role.
    Role m_role { Role::Follower };
    HostId m_leader;
    LogIndex m_commitIndex { 0 };
    LogIndex m_takenCommit { 0 };
    std::optional<Snapshot> m_installed;
    Membership m_membership; // The latest in the log, committed or not.
    std::vector<MembershipAt> m_membershipHistory; // In the snapshot and in entries; ascending.
    std::optional<Membership> m_forcedMembership; // From replaceMembers() until the leader's list arrives.
    TimePoint m_now;
    TimePoint m_lastLeaderContact;
    TimePoint m_voteRefusalEnd; // A restarted voter may have promised a leader its patience.
    TimePoint m_electionDue;

    // Right to vote after a start.
    IdentityState m_identityState { IdentityState::Confirmed };
    IdentityCheck m_identityCheck;
    bool m_isFormationDenied { false }; // Others have a log, this host has none: it does not lead.
    TimePoint m_identityGraceEnd;
    TimePoint m_identityResendDue;
    std::set<HostId> m_identityAnswers;
    std::optional<Term> m_restartTerm; // No vote is given in the term found on the disk.

    // Candidate and leader.
    std::set<HostId> m_votes;
    uint64_t m_ownVoteSequence { 0 }; // The write that makes the vote for itself durable.
    std::map<HostId, PeerProgress> m_peers;
    uint64_t m_round { 0 };
    std::deque<std::pair<uint64_t, TimePoint>> m_roundTimes;
    bool m_isRoundWanted { false };
    TimePoint m_heartbeatDue;
    TimePoint m_learnerHeartbeatDue;
    TimePoint m_leaderSince;
    HostId m_transferTarget;
    bool m_hasOfferedTransfer { false }; // In this term: an election may start despite the lease.
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
            && isCountedVoter(member.host, peer->second.identity.store))
            values.push_back(valueOf(peer->second));
    }
    if (values.size() < m_membership.quorum())
        return missing;
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[m_membership.quorum() - 1];
}

} // namespace hickoryknot
