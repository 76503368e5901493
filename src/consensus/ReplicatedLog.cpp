#include "consensus/ReplicatedLog.h"

#include "core/Assert.h"
#include "core/Hash.h"

namespace hickoryknot {

namespace {

uint64_t hashOf(const std::string& text) { return hashBytes(text); }

// Requests of an older term get a response, so that their sender learns of the newer term.
bool isRequest(const LogMessageBody& body)
{
    return std::holds_alternative<VoteRequest>(body) || std::holds_alternative<AppendRequest>(body)
        || std::holds_alternative<SnapshotChunk>(body);
}

bool isLeaderRequest(const LogMessageBody& body)
{
    return std::holds_alternative<AppendRequest>(body) || std::holds_alternative<SnapshotChunk>(body);
}

bool isPreVote(const LogMessageBody& body)
{
    const auto* request = std::get_if<VoteRequest>(&body);
    const auto* response = std::get_if<VoteResponse>(&body);
    return (request && request->isPreVote) || (response && response->isPreVote);
}

bool isIdentityMessage(const LogMessageBody& body)
{
    return std::holds_alternative<IdentityCheck>(body) || std::holds_alternative<IdentityCheckResponse>(body);
}

} // namespace

ReplicatedLog::ReplicatedLog(ReplicatedLogSettings settings, TimePoint now)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed ^ hashOf(m_settings.self.value()), hashOf(m_settings.group))
    , m_now(now)
    , m_lastLeaderContact(now - std::chrono::hours(1))
    , m_voteRefusalEnd(now)
{
    RecoveredLog& recovered = m_settings.recovered;
    m_term = recovered.hardState.term;
    m_votedFor = recovered.hardState.votedFor;
    m_evidence = EvidenceTable(std::move(recovered.hardState.evidence));
    if (recovered.snapshot) {
        m_log.resetTo(*recovered.snapshot);
        m_commitIndex = m_drainedIndex = recovered.snapshot->index;
    }
    for (auto& entry : recovered.entries)
        m_log.append(std::move(entry));
    m_unwrittenFrom = m_log.lastIndex() + 1;
    m_persistedIndex = m_log.lastIndex();
    rebuildMembership();
    resetElectionTimeout(now);
    const bool isRestarted = !recovered.wasEmpty;
    recovered = {};
    if (m_settings.identity.store == StoreId::None)
        return;
    if (isRestarted) {
        m_recoveredTerm = m_term;
        m_voteRefusalEnd = now + m_settings.timings.electionMin;
    }
    beginIdentityCheck({ .storedTerm = m_term, .storedIndex = m_log.lastIndex() }, now);
}

void ReplicatedLog::step(const LogMessage& message, TimePoint now)
{
    m_now = now;
    if (message.group != m_settings.group || message.to != m_settings.self || message.from == m_settings.self)
        return;
    if (isIdentityMessage(message.body)) {
        if (const auto* check = std::get_if<IdentityCheck>(&message.body))
            handle(*check, message, now);
        else
            handle(std::get<IdentityCheckResponse>(message.body), message, now);
        return;
    }
    if (m_evidence.isSuperseded(message.from, message.identity))
        return;
    const auto* vote = std::get_if<VoteRequest>(&message.body);
    // Otherwise a partitioned host that rejoins with a higher term could depose a working leader.
    if (vote && !vote->isPreVote && !vote->isTransfer && message.term > m_term && isLeaderAlive(now))
        return;
    // Pre-votes do not change the term: the sender may only have been partitioned.
    if (isPreVote(message.body)) {
        std::visit([&](const auto& body) { handle(body, message, now); }, message.body);
        return;
    }
    if (message.term > m_term)
        becomeFollower(message.term, isLeaderRequest(message.body) ? message.from : HostId(), now);
    else if (message.term < m_term && !isRequest(message.body))
        return;
    std::visit([&](const auto& body) { handle(body, message, now); }, message.body);
}

void ReplicatedLog::tick(TimePoint now)
{
    m_now = now;
    if (m_identityState == IdentityState::Unconfirmed) {
        if (now >= m_nextIdentityCheckAt)
            sendIdentityChecks(now);
        evaluateIdentity(now);
    }
    if (m_role != Role::Leader) {
        if (now >= m_electionDeadline && mayCampaign())
            startPreVote(now);
        return;
    }
    checkQuorum(now);
    if (m_role != Role::Leader || now < m_nextHeartbeatAt)
        return;
    m_nextHeartbeatAt = now + m_settings.timings.heartbeat;
    startRound(now);
    stepDownIfRemoved(now);
    replaceChangedStore(now);
    bindStores(now);
    promoteCaughtUp(now);
    continueTransfer(now);
}

void ReplicatedLog::send(const HostId& to, LogMessageBody body, uint64_t afterSequence)
{
    LogMessage message { .group = m_settings.group,
        .from = m_settings.self,
        .identity = m_settings.identity,
        .to = to,
        .term = m_term,
        .body = std::move(body) };
    m_outbox.push_back({ afterSequence, OutgoingMessage { to, std::move(message) } });
}

void ReplicatedLog::setTerm(Term term, const HostId& votedFor)
{
    HICKORYKNOT_ASSERT(term >= m_term, "terms never decrease");
    if (term == m_term && votedFor == m_votedFor)
        return;
    m_term = term;
    m_votedFor = votedFor;
    m_isHardStateChanged = true;
    m_hardStateSequence = m_lastBatchSequence + 1;
}

bool ReplicatedLog::hasUnwritten() const
{
    return m_isHardStateChanged || m_isSnapshotUnwritten || m_isIdentityRenewalPending
        || m_unwrittenFrom <= m_log.lastIndex();
}

std::optional<WriteBatch> ReplicatedLog::popWriteBatch()
{
    if (!hasUnwritten() && !(m_isEvidenceChanged && m_now >= m_evidenceWriteDeadline))
        return std::nullopt;
    WriteBatch batch;
    batch.sequence = ++m_lastBatchSequence;
    if (m_isHardStateChanged || m_isEvidenceChanged)
        batch.hardState = HardState { .term = m_term, .votedFor = m_votedFor, .evidence = m_evidence.entries() };
    if (m_isSnapshotUnwritten) {
        batch.snapshot = m_log.snapshot();
        batch.isLogReset = m_isLogReset;
    }
    for (LogIndex index = m_unwrittenFrom; index <= m_log.lastIndex(); ++index)
        batch.entries.push_back(m_log.at(index));
    batch.isIdentityRenewed = m_isIdentityRenewalPending;
    m_isHardStateChanged = m_isEvidenceChanged = m_isSnapshotUnwritten = m_isLogReset = m_isIdentityRenewalPending
        = false;
    m_unwrittenFrom = m_log.lastIndex() + 1;
    m_writesInFlight.emplace_back(batch.sequence, m_log.lastIndex());
    if (m_repairedStore && m_repairedStore->sequence == batch.sequence)
        m_repairedStore->content = { .storedTerm = m_term, .storedIndex = m_log.lastIndex() };
    return batch;
}

void ReplicatedLog::onPersisted(uint64_t sequence, TimePoint now)
{
    m_now = now;
    while (!m_writesInFlight.empty() && m_writesInFlight.front().first <= sequence) {
        m_persistedIndex = m_writesInFlight.front().second;
        m_writesInFlight.pop_front();
    }
    m_persistedSequence = std::max(m_persistedSequence, sequence);
    if (m_repairedStore && m_persistedSequence >= m_repairedStore->sequence)
        finishStorageRepair(now);
    countOwnVote(now);
    if (m_role == Role::Leader && mayAcknowledge())
        recordEvidence(m_settings.self, m_settings.identity, m_term, m_persistedIndex);
    advanceCommit(now);
}

void ReplicatedLog::onStorageFailed(TimePoint now)
{
    // Without a store id, later messages of this host do not count as those of a voter.
    m_settings.identity.store = StoreId::None;
    m_repairedStore.reset();
    becomeFollower(m_term, m_role == Role::Leader ? HostId() : m_leader, now);
    std::erase_if(m_outbox, [&](const PendingMessage& pending) { return pending.sequence > m_persistedSequence; });
    // Later messages acknowledge nothing durable, so they must not wait for the failed write.
    onPersisted(m_lastBatchSequence, now);
    m_identityState = IdentityState::Confirmed;
    m_isIdentityRenewalPending = false;
}

void ReplicatedLog::onStorageRepaired(const StoreIdentity& identity)
{
    HICKORYKNOT_ASSERT(m_writesInFlight.empty() && m_settings.identity.store == StoreId::None, "the store has failed");
    const auto& snapshot = m_log.snapshot();
    m_isHardStateChanged = true;
    m_hardStateSequence = m_lastBatchSequence + 1;
    m_isSnapshotUnwritten = m_isLogReset = snapshot.has_value();
    m_unwrittenFrom = (snapshot ? snapshot->index : m_log.baseIndex()) + 1;
    m_persistedIndex = m_unwrittenFrom - 1;
    m_repairedStore = { .identity = identity, .sequence = m_lastBatchSequence + 1, .content = {} };
}

std::vector<OutgoingMessage> ReplicatedLog::drainMessages()
{
    replicateToPeers();
    std::vector<OutgoingMessage> messages;
    std::vector<PendingMessage> kept;
    for (auto& pending : m_outbox) {
        if (pending.sequence <= m_persistedSequence)
            messages.push_back(std::move(pending.message));
        else
            kept.push_back(std::move(pending));
    }
    m_outbox = std::move(kept);
    return messages;
}

std::vector<LogEntry> ReplicatedLog::drainCommitted()
{
    std::vector<LogEntry> entries;
    while (m_drainedIndex < m_commitIndex)
        entries.push_back(m_log.at(++m_drainedIndex));
    return entries;
}

std::optional<Snapshot> ReplicatedLog::popInstalledSnapshot() { return std::exchange(m_installed, std::nullopt); }

bool ReplicatedLog::recordSnapshot(LogIndex index, std::shared_ptr<const std::string> data)
{
    HICKORYKNOT_ASSERT(index <= m_drainedIndex && index >= m_log.baseIndex(), "a snapshot covers applied entries");
    if (m_isLogReset)
        return false;
    while (m_membershipHistory.size() > 1 && m_membershipHistory[1].index <= index)
        m_membershipHistory.erase(m_membershipHistory.begin());
    m_log.setSnapshot({ .index = index,
        .term = *m_log.termAt(index),
        .members = encodeMembership(m_membershipHistory.front().membership),
        .data = std::move(data) });
    m_isSnapshotUnwritten = true;
    // Entries that are not durable yet must stay in memory until they are written.
    const LogIndex kept = std::min(m_settings.trailingEntries, index);
    const LogIndex unneeded = std::max(index - kept, m_log.indexBeforeLast(m_settings.trailingBytes, index));
    m_log.compactTo(std::min({ unneeded, m_persistedIndex, m_unwrittenFrom - 1 }));
    return true;
}

std::optional<HostId> ReplicatedLog::leader() const
{
    return m_leader.isEmpty() ? std::nullopt : std::optional(m_leader);
}

tl::unexpected<Error> ReplicatedLog::notLeader() const
{
    if (!m_transferTarget.isEmpty())
        return makeError(ErrorCode::NotLeader, m_transferTarget.value());
    return makeError(ErrorCode::NotLeader, m_leader.value());
}

} // namespace hickoryknot
