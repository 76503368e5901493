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

/// A replicated log with its store and state machine. All functions belong to one control thread except performWrite(),
/// which may run on a storage thread. Completions run inside calls on the control thread and must not call back into
/// the group. Deterministic for equal calls.
///
/// After each call of step(), tick(), propose(), written() and the like the owner sends takeMessages() and, if no write
/// is outstanding, hands takeWrite() to the storage thread.
class LogGroup {
public:
    using ProposeCompletion = std::function<void(Expected<std::string>)>;
    using Completion = std::function<void(Expected<void>)>;

    /// Recovers the state machine from the store's snapshot; entries follow once they are known to be committed.
    /// Without a store the host is a learner in memory. InvalidArgument: a voter without a store, a store of another
    /// host, or settings out of range. Corrupt: the snapshot cannot be restored.
    static Expected<std::unique_ptr<LogGroup>> open(
        const LogGroupSettings&, std::unique_ptr<RecordStore> storeOrNull, StateMachine&, TimePoint now);

    LogGroup(const LogGroup&) = delete;
    LogGroup& operator=(const LogGroup&) = delete;
    ~LogGroup();

    /// Handles a message of another member.
    void step(const LogMessage&, TimePoint now);

    /// Handles timeouts; at least every 10 ms.
    void tick(TimePoint now);

    /// Proposes a command. The completion gets the result of StateMachine::apply() once the command is durable on a
    /// quorum and applied here. NotLeader: nothing was proposed; the message names the leader. Unavailable: leadership
    /// was lost first; the command may still be committed. TooLarge, Overloaded: nothing was proposed.
    void propose(std::string payload, TimePoint now, ProposeCompletion);

    /// Completes once a quorum has confirmed the leadership after this call and everything committed before is applied:
    /// a read of the state machine then is linearizable. NotLeader, Unavailable: it cannot be confirmed here.
    void readBarrier(TimePoint now, Completion);

    /// Messages that are safe to send now.
    std::vector<OutgoingMessage> takeMessages();

    /// The next write. Empty while one is outstanding, if there is nothing to write or without a store. What comes in
    /// meanwhile is gathered into the following write.
    std::optional<WriteBatch> takeWrite();

    /// Makes a batch durable. Touches nothing but the store: may run on another thread while the control thread goes
    /// on.
    WriteResult performWrite(const WriteBatch&);

    /// Takes the result of performWrite() back on the control thread. After an error this host votes and acknowledges
    /// no more and goes on as a learner in memory.
    void written(const WriteResult&, TimePoint now);

    bool isLeader() const { return m_log.isLeader(); }

    /// True if this host leads and no other host can have been elected by `now`, within the stated clock drift.
    bool hasReadableLeadership(TimePoint now) const { return m_log.hasReadableLeadership(now); }

    std::optional<HostId> leader() const { return m_log.leader(); }
    Term term() const { return m_log.term(); }
    uint64_t generation() const { return generationOf(m_log.term()); }
    LogIndex commitIndex() const { return m_log.commitIndex(); }
    LogIndex appliedIndex() const { return m_appliedIndex; }
    LogIndex lastIndex() const { return m_log.lastIndex(); }
    TimePoint lastLeaderContact() const { return m_log.lastLeaderContact(); }

    /// Adds a learner; with isVoter the leader promotes it once it has caught up, and the completion waits for that.
    void addMember(const HostId&, bool isVoter, TimePoint now, Completion);
    void removeMember(const HostId&, TimePoint now, Completion);

    /// Makes a learner with a disk a voter. Unavailable: it has not caught up yet.
    void promote(const HostId&, TimePoint now, Completion);

    /// Starts to hand leadership to another voter; see leader() for the outcome. Errors as ReplicatedLog.
    Expected<void> transferLeadership(const HostId&, TimePoint now);

    /// Forms the group anew around one surviving voter; see ReplicatedLog::replaceMembers().
    Expected<void> replaceMembers(uint64_t generation, const std::vector<InitialMember>&, TimePoint now);

    const std::vector<Member>& members() const { return m_log.membership().members(); }

    /// True if this host may vote: a member with a sound disk that is not behind.
    bool mayVote() const { return m_log.mayVote(); }

    /// True if the store turned out to be an older copy and was given a new store id.
    bool wasIdentityOutdated() const { return m_wasIdentityOutdated; }

    /// Store id, incarnation and session of this host.
    const StoreIdentity& identity() const { return m_log.identity(); }

    /// The error that ended the right to acknowledge, if any.
    const std::optional<Error>& storageFailure() const { return m_storageFailure; }

    /// Bytes that were cut from the end of the log at open().
    uint64_t recoveredCutBytes() const { return m_recoveredCutBytes; }

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
        bool isVoterAwaited;
        Completion completion;
    };

    LogGroup(const LogGroupSettings&, std::unique_ptr<RecordStore>, StateMachine&, ReplicatedLog);
    bool isStoreSound() const { return m_store && !m_storageFailure; }
    void advance(TimePoint now);
    void persistInMemory(TimePoint now);
    void installSnapshot(const Snapshot&);
    void applyCommitted();
    void apply(const LogEntry&);
    void takeSnapshotIfDue();
    void completeReads();
    void completeChanges();
    void failPendingAfterLoss();
    void trackChange(Expected<LogIndex>, const HostId&, bool isVoterAwaited, Completion);

    // Settings.
    LogGroupSettings m_settings;

    // State.
    std::unique_ptr<RecordStore> m_store;
    StateMachine& m_machine;
    ReplicatedLog m_log;
    LogIndex m_appliedIndex { 0 };
    LogIndex m_snapshotIndex { 0 };
    bool m_isWriteOutstanding { false };
    bool m_wasIdentityOutdated { false };
    std::optional<Error> m_storageFailure;
    uint64_t m_recoveredCutBytes { 0 };

    // Callers that wait.
    std::map<LogIndex, PendingProposal> m_proposals;
    size_t m_pendingBytes { 0 };
    Term m_pendingTerm { 0 }; // Those who wait proposed in this term.
    std::vector<PendingRead> m_reads;
    std::vector<PendingChange> m_changes;
};

} // namespace hickoryknot
