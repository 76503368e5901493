#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/LogGroupSettings.h"
#include "consensus/OutgoingMessage.h"
#include "consensus/ReplicatedLog.h"
#include "consensus/StateMachine.h"
#include "log/RecordStore.h"

namespace hickoryknot {

/// A replicated log with its store and state machine. All functions must be called on one control thread except
/// performWrite(), which may run on a storage thread. Completions run inside calls on the control thread and must not
/// call back into the group. Deterministic: the same calls give the same results.
///
/// After each call of step(), tick(), propose(), onWriteCompleted() and the like the owner sends drainMessages() and,
/// if no write is outstanding, hands popWriteBatch() to the storage thread.
class LogGroup {
public:
    using ProposeCompletion = std::function<void(Expected<std::string>)>;
    using Completion = std::function<void(Expected<void>)>;

    /// Recovers the state machine from the store's snapshot; entries follow once they are known to be committed.
    /// Without a store the host is an in-memory learner. InvalidArgument: a voter without a store, a store of another
    /// host, or settings out of range. Corrupt: the snapshot cannot be restored.
    static Expected<std::unique_ptr<LogGroup>> open(
        const LogGroupSettings&, std::unique_ptr<RecordStore> storeOrNull, StateMachine&, TimePoint now);

    LogGroup(const LogGroup&) = delete;
    LogGroup& operator=(const LogGroup&) = delete;
    ~LogGroup();

    /// Handles a message from another member.
    void step(const LogMessage&, TimePoint now);

    /// Handles timeouts. Must be called at least every 10 ms.
    void tick(TimePoint now);

    /// Proposes a command. The completion receives the result of StateMachine::apply() once the command is durable on a
    /// quorum and applied here. NotLeader: nothing was proposed; the message names the leader. Unavailable: leadership
    /// was lost first; the command may still be committed. TooLarge, Overloaded: nothing was proposed.
    void propose(std::string payload, TimePoint now, ProposeCompletion);

    /// Completes once a quorum has confirmed the leadership after this call and everything committed before is applied:
    /// reads of the state machine are then linearizable. NotLeader, Unavailable: leadership cannot be confirmed.
    void readBarrier(TimePoint now, Completion);

    /// Removes and returns the messages whose preceding writes are durable.
    std::vector<OutgoingMessage> drainMessages();

    /// The next write. Empty while one is outstanding, if there is nothing to write or without a store. Changes made
    /// while a write is outstanding are combined into the next one.
    std::optional<WriteBatch> popWriteBatch();

    /// Makes a batch durable. Accesses only the store, so it may run concurrently with the control thread.
    WriteResult performWrite(const WriteBatch&);

    /// Handles the result of performWrite() on the control thread. After an error this host no longer votes or
    /// acknowledges and continues as an in-memory learner.
    void onWriteCompleted(const WriteResult&, TimePoint now);

    /// Makes the failed store usable again; see RecordStore::repair(). Accesses only the store, like performWrite().
    Expected<void> repairStore();

    /// Continues with the repaired store on the control thread: this host writes all that it knows, and votes again
    /// once the other members have confirmed the store.
    void onStoreRepaired(TimePoint now);

    bool isLeader() const { return m_log.isLeader(); }

    /// True if this host leads and no other host can have been elected by `now`, given clock drift within
    /// LogTimings::leaseMargin.
    bool hasLeaderLease(TimePoint now) const { return m_log.hasLeaderLease(now); }

    std::optional<HostId> leader() const { return m_log.leader(); }
    Term term() const { return m_log.term(); }
    uint64_t generation() const { return generationOf(m_log.term()); }
    LogIndex commitIndex() const { return m_log.commitIndex(); }
    LogIndex appliedIndex() const { return m_appliedIndex; }
    LogIndex lastIndex() const { return m_log.lastIndex(); }
    /// Payload bytes of the entries in memory.
    size_t logBytes() const { return m_log.logBytes(); }
    TimePoint lastLeaderContact() const { return m_log.lastLeaderContact(); }

    /// Adds a learner; with isVoter the leader promotes it once it has caught up, and the completion runs after the
    /// promotion.
    void addMember(const HostId&, bool isVoter, TimePoint now, Completion);
    void removeMember(const HostId&, TimePoint now, Completion);

    /// Makes a learner with a disk a voter. Unavailable: it has not caught up yet.
    void promote(const HostId&, TimePoint now, Completion);

    /// Starts a leadership transfer to another voter; leader() shows the outcome. Errors as in
    /// ReplicatedLog::transferLeadership().
    Expected<void> transferLeadership(const HostId&, TimePoint now);

    /// Forces a new configuration with one surviving voter; see ReplicatedLog::replaceMembers().
    Expected<void> replaceMembers(uint64_t generation, const std::vector<InitialMember>&, TimePoint now);

    const std::vector<Member>& members() const { return m_log.membership().members(); }

    /// True if this host may vote: a voter with a working, up-to-date store.
    bool mayVote() const { return m_log.mayVote(); }

    /// True if the store was found to be an older copy and received a new store id.
    bool wasIdentityOutdated() const { return m_wasIdentityOutdated; }

    /// Store id, incarnation and session of this host.
    const StoreIdentity& identity() const { return m_log.identity(); }

    /// The storage error after which this host stopped voting and acknowledging, until onStoreRepaired().
    const std::optional<Error>& storageFailure() const { return m_storageFailure; }

    /// Bytes of an incomplete batch that open() truncated from the end of the log.
    uint64_t recoveredTruncatedBytes() const { return m_recoveredTruncatedBytes; }

private:
    struct PendingProposal {
        Term term;
        size_t bytes;
        ProposeCompletion completion;
    };
    struct PendingRead {
        uint64_t round;
        LogIndex index;
        Completion completion;
    };
    struct PendingChange {
        Term term;
        HostId host;
        LogIndex index;
        bool isPromotionAwaited;
        Completion completion;
    };

    LogGroup(const LogGroupSettings&, std::unique_ptr<RecordStore>, StateMachine&, ReplicatedLog);
    bool isStoreUsable() const { return m_store && !m_storageFailure; }
    void advance(TimePoint now);
    void persistInMemory(TimePoint now);
    void installSnapshot(const Snapshot&);
    void applyCommitted();
    void apply(const LogEntry&);
    void snapshotIfNeeded();
    void completeReads();
    void completeMembershipChanges();
    void failPendingOnLeadershipLoss();
    void trackMembershipChange(Expected<LogIndex>, const HostId&, bool isPromotionAwaited, Completion);

    // Settings.
    LogGroupSettings m_settings;

    // State.
    std::unique_ptr<RecordStore> m_store;
    StateMachine& m_stateMachine;
    ReplicatedLog m_log;
    LogIndex m_appliedIndex { 0 };
    LogIndex m_snapshotIndex { 0 };
    uint64_t m_bytesSinceSnapshot { 0 }; // Payload of the entries applied since.
    bool m_isWriteOutstanding { false };
    bool m_wasIdentityOutdated { false };
    std::optional<Error> m_storageFailure;
    uint64_t m_recoveredTruncatedBytes { 0 };

    // Pending calls.
    std::map<LogIndex, PendingProposal> m_proposals;
    size_t m_pendingBytes { 0 };
    Term m_pendingTerm { 0 }; // The term in which the pending calls were made.
    std::vector<PendingRead> m_reads;
    std::vector<PendingChange> m_changes;
};

} // namespace hickoryknot
