#include "consensus/ReplicatedLog.h"

#include "core/Assert.h"
#include "core/Hash.h"

namespace hickoryknot {

namespace {

constexpr uint64_t maxAppendsInFlight = 64; // Covers 16 MiB of entries per round trip at the default batch size.
constexpr uint64_t evidenceResendRounds = 8; // About every 600 ms.

uint64_t checksumOf(const std::string& data) { return hashBytes(data); }

} // namespace

// ---- Leader ----

Expected<LogIndex> ReplicatedLog::propose(std::string payload, TimePoint now)
{
    m_now = now;
    if (m_role != Role::Leader || !m_transferTarget.isEmpty())
        return notLeader();
    return appendAsLeader(EntryKind::Payload, std::move(payload));
}

LogIndex ReplicatedLog::appendAsLeader(EntryKind kind, std::string payload)
{
    const LogIndex index = m_log.lastIndex() + 1;
    m_log.append({ .index = index, .term = m_term, .kind = kind, .payload = std::move(payload) });
    return index;
}

Expected<uint64_t> ReplicatedLog::startReadRound(TimePoint now)
{
    m_now = now;
    if (m_role != Role::Leader)
        return notLeader();
    // A previous leader may have committed entries beyond the commit index known here.
    if (!hasCommittedInCurrentTerm())
        return makeError(ErrorCode::Unavailable, "the leader has not committed an entry of its term yet");
    m_isRoundRequested = true;
    return m_round + 1;
}

uint64_t ReplicatedLog::confirmedRound() const
{
    if (m_role != Role::Leader)
        return 0;
    // A single voter confirms its own rounds, even the next one before it starts.
    return quorumValue<uint64_t>(m_round + 1, 0, [](const PeerProgress& peer) { return peer.acknowledgedRound; });
}

void ReplicatedLog::startRound(TimePoint now)
{
    m_isRoundRequested = false;
    m_roundTimes.emplace_back(++m_round, now);
    while (m_roundTimes.front().second + 2 * m_settings.timings.electionMax < now)
        m_roundTimes.pop_front();
    const bool isLearnerHeartbeatDue = now >= m_nextLearnerHeartbeatAt;
    if (isLearnerHeartbeatDue)
        m_nextLearnerHeartbeatAt = now + m_settings.timings.learnerHeartbeat;
    for (auto& [host, peer] : m_peers) {
        const Member* member = m_membership.find(host);
        if (!isLearnerHeartbeatDue && !(member && (member->isVoter || member->isPromotionPending)))
            continue;
        peer.mustSend = true;
        peer.appendsInFlight = 0; // Responses may have been lost.
    }
}

void ReplicatedLog::replicateToPeers()
{
    if (m_role != Role::Leader)
        return;
    if (m_isRoundRequested)
        startRound(m_now);
    for (auto& [host, peer] : m_peers)
        replicateTo(host, peer);
}

void ReplicatedLog::replicateTo(const HostId& host, PeerProgress& peer)
{
    if (peer.mode != PeerProgress::Mode::Snapshot && peer.nextIndex <= m_log.baseIndex()) {
        HICKORYKNOT_ASSERT(m_log.snapshot(), "entries are only compacted below a snapshot");
        peer.mode = PeerProgress::Mode::Snapshot;
        peer.snapshot = m_log.snapshot();
        peer.snapshotChecksum = checksumOf(*peer.snapshot->data);
        peer.snapshotOffset = 0;
        peer.isWaiting = false;
    }
    const bool isStopAndWait = peer.mode != PeerProgress::Mode::Pipeline;
    if (isStopAndWait) {
        if (peer.isWaiting && !peer.mustSend)
            return;
        peer.isWaiting = true;
        if (peer.mode == PeerProgress::Mode::Snapshot)
            sendSnapshotChunk(host, peer);
        else
            sendEntries(host, peer);
        return;
    }
    while (peer.nextIndex <= m_log.lastIndex() && peer.appendsInFlight < maxAppendsInFlight)
        sendEntries(host, peer);
    const bool isCommitDue
        = peer.sentCommitIndex < m_commitIndex && m_now - peer.sentAt >= m_settings.timings.commitDelay;
    if (peer.mustSend || isCommitDue)
        sendEntries(host, peer);
}

void ReplicatedLog::sendEntries(const HostId& host, PeerProgress& peer)
{
    AppendRequest request { .previousIndex = peer.nextIndex - 1,
        .previousTerm = *m_log.termAt(peer.nextIndex - 1),
        .entries = {},
        .commitIndex = m_commitIndex,
        .round = m_round,
        .evidence = {} };
    if (peer.appendsInFlight < maxAppendsInFlight)
        request.entries = m_log.slice(peer.nextIndex, m_settings.batchBytes);
    // Lets the other members detect an older disk without this host; resent periodically, as messages may be lost.
    const bool isEvidenceDue = peer.sentEvidence != m_evidence.revision() || m_round % evidenceResendRounds == 0;
    if ((peer.mustSend || request.entries.empty()) && isEvidenceDue) {
        request.evidence = m_evidence.entries();
        peer.sentEvidence = m_evidence.revision();
    }
    if (peer.mode == PeerProgress::Mode::Pipeline && !request.entries.empty()) {
        peer.nextIndex += request.entries.size();
        ++peer.appendsInFlight;
    }
    peer.sentCommitIndex = m_commitIndex;
    peer.sentAt = m_now;
    peer.mustSend = false;
    send(host, std::move(request), 0);
}

void ReplicatedLog::sendSnapshotChunk(const HostId& host, PeerProgress& peer)
{
    const Snapshot& snapshot = *peer.snapshot;
    auto members = decodeMembership(snapshot.members);
    HICKORYKNOT_ASSERT(members, "a snapshot in memory has a valid member list");
    peer.mustSend = false;
    send(host,
        SnapshotChunk { .index = snapshot.index,
            .indexTerm = snapshot.term,
            .members = std::move(*members),
            .totalBytes = snapshot.data->size(),
            .checksum = peer.snapshotChecksum,
            .offset = peer.snapshotOffset,
            .data = snapshot.data->substr(peer.snapshotOffset, m_settings.batchBytes),
            .round = m_round },
        0);
}

PeerProgress* ReplicatedLog::recordResponse(const LogMessage& message, uint64_t round)
{
    const auto found = m_peers.find(message.from);
    if (m_role != Role::Leader || message.term != m_term || found == m_peers.end())
        return nullptr;
    PeerProgress& peer = found->second;
    // Another incarnation may have lost in-memory state, another store the durable state.
    if (peer.identity != message.identity) {
        peer = PeerProgress();
        peer.identity = message.identity;
        peer.nextIndex = m_log.lastIndex() + 1;
    }
    const auto sent
        = std::find_if(m_roundTimes.begin(), m_roundTimes.end(), [&](const auto& item) { return item.first == round; });
    if (sent != m_roundTimes.end() && round >= peer.acknowledgedRound) {
        peer.acknowledgedRound = round;
        peer.acknowledgedSendTime = sent->second;
        peer.hasResponded = true;
    }
    return &peer;
}

void ReplicatedLog::handle(const AppendResponse& response, const LogMessage& message, TimePoint now)
{
    PeerProgress* peer = recordResponse(message, response.round);
    if (!peer || response.matchIndex > m_log.lastIndex())
        return;
    peer->isVoting = peer->isVoting || response.isVoting;
    if (!response.isAccepted) {
        handleRejection(*peer, response);
        return;
    }
    if (response.isVoting && isKnownIdentity(message.from, message.identity.store))
        recordEvidence(message.from, message.identity, m_term, response.matchIndex);
    peer->matchIndex = std::max(peer->matchIndex, response.matchIndex);
    peer->nextIndex = std::max(peer->nextIndex, peer->matchIndex + 1);
    if (peer->appendsInFlight)
        --peer->appendsInFlight;
    const bool isSnapshotDone = peer->snapshot && peer->matchIndex >= peer->snapshot->index;
    if (peer->mode == PeerProgress::Mode::Probe || isSnapshotDone) {
        peer->mode = PeerProgress::Mode::Pipeline;
        peer->nextIndex = peer->matchIndex + 1;
        peer->snapshot.reset();
        peer->isWaiting = false;
    }
    advanceCommit(now);
}

void ReplicatedLog::handleRejection(PeerProgress& peer, const AppendResponse& response)
{
    const bool isOutdated = response.rejectedIndex <= peer.matchIndex
        || (peer.mode == PeerProgress::Mode::Probe && response.rejectedIndex != peer.nextIndex - 1);
    if (peer.mode == PeerProgress::Mode::Snapshot || isOutdated)
        return;
    peer.mode = PeerProgress::Mode::Probe;
    peer.nextIndex = std::max(peer.matchIndex, std::min(response.rejectedIndex - 1, response.hintIndex)) + 1;
    peer.isWaiting = false;
    peer.appendsInFlight = 0;
}

void ReplicatedLog::handle(const SnapshotResponse& response, const LogMessage& message, TimePoint)
{
    PeerProgress* peer = recordResponse(message, response.round);
    const bool isCurrent = peer && peer->mode == PeerProgress::Mode::Snapshot && peer->snapshot
        && peer->snapshot->index == response.index && response.receivedBytes <= peer->snapshot->data->size();
    if (!isCurrent)
        return;
    const bool hasAdvanced = response.receivedBytes != peer->snapshotOffset;
    peer->snapshotOffset = response.receivedBytes;
    peer->isWaiting = peer->isWaiting && !hasAdvanced;
}

void ReplicatedLog::advanceCommit(TimePoint)
{
    if (m_role != Role::Leader)
        return;
    const LogIndex index
        = quorumValue<LogIndex>(m_persistedIndex, 0, [](const PeerProgress& peer) { return peer.matchIndex; });
    // Raft: an entry of an older term may be replaced although a majority has it.
    if (index > m_commitIndex && m_log.termAt(index) == m_term)
        m_commitIndex = index;
}

// ---- Follower ----

bool ReplicatedLog::acceptLeader(const LogMessage& message, TimePoint now)
{
    if (message.term < m_term) {
        send(message.from, AppendResponse {}, m_hardStateSequence);
        return false;
    }
    if (m_role == Role::Leader)
        return false;
    if (m_role != Role::Follower || m_leader != message.from)
        becomeFollower(m_term, message.from, now);
    m_lastLeaderContact = now;
    resetElectionTimeout(now);
    return true;
}

void ReplicatedLog::handle(const AppendRequest& request, const LogMessage& message, TimePoint now)
{
    if (!acceptLeader(message, now))
        return;
    for (const auto& evidence : request.evidence)
        recordEvidence(evidence.host, evidence.identity, evidence.term, evidence.index);
    const bool isCompacted = request.previousIndex < m_log.baseIndex();
    if (!isCompacted && m_log.termAt(request.previousIndex) != request.previousTerm) {
        rejectAppend(request, message);
        return;
    }
    storeEntries(request);
    const LogIndex match = request.previousIndex + request.entries.size();
    m_commitIndex = std::max(m_commitIndex, std::min(match, request.commitIndex));
    acknowledge(message.from, match, request.round);
}

void ReplicatedLog::rejectAppend(const AppendRequest& request, const LogMessage& message)
{
    LogIndex hint = m_log.lastIndex();
    if (request.previousIndex <= hint)
        hint = std::max(m_commitIndex, m_log.lastIndexBeforeTermOf(request.previousIndex));
    send(message.from,
        AppendResponse { .isVoting = mayAcknowledge(),
            .rejectedIndex = request.previousIndex,
            .hintIndex = hint,
            .round = request.round },
        m_hardStateSequence);
}

void ReplicatedLog::acknowledge(const HostId& leader, LogIndex match, uint64_t round)
{
    // Heartbeats are acknowledged immediately, even while a write is in progress.
    const uint64_t sequence = match <= m_persistedIndex ? m_hardStateSequence : nextWriteSequence();
    send(leader,
        AppendResponse { .isAccepted = true, .isVoting = mayAcknowledge(), .matchIndex = match, .round = round },
        std::max(sequence, m_hardStateSequence));
}

void ReplicatedLog::storeEntries(const AppendRequest& request)
{
    bool isMembershipChanged = false;
    for (const auto& entry : request.entries) {
        if (entry.index <= m_log.baseIndex() || m_log.termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= m_log.lastIndex()) {
            truncateLogFrom(entry.index);
            isMembershipChanged = true;
        }
        m_log.append(entry);
        isMembershipChanged = isMembershipChanged || entry.kind == EntryKind::Members;
    }
    if (isMembershipChanged)
        rebuildMembership();
}

void ReplicatedLog::truncateLogFrom(LogIndex index)
{
    HICKORYKNOT_ASSERT(index > m_commitIndex, "committed entries are never replaced");
    m_log.truncateFrom(index);
    m_unwrittenFrom = std::min(m_unwrittenFrom, index);
    m_persistedIndex = std::min(m_persistedIndex, index - 1);
    for (auto& [sequence, last] : m_writesInFlight)
        last = std::min(last, index - 1);
}

void ReplicatedLog::handle(const SnapshotChunk& chunk, const LogMessage& message, TimePoint now)
{
    if (!acceptLeader(message, now))
        return;
    // Entries that this log already has must not be discarded: they may have been acknowledged.
    if (chunk.index <= m_commitIndex || m_log.termAt(chunk.index) == chunk.indexTerm) {
        m_commitIndex = std::max(m_commitIndex, chunk.index);
        acknowledge(message.from, chunk.index, chunk.round);
        return;
    }
    const bool isSame = m_incoming && m_incoming->index == chunk.index && m_incoming->term == chunk.indexTerm;
    if (!isSame)
        m_incoming = IncomingSnapshot { .index = chunk.index, .term = chunk.indexTerm, .data = {} };
    if (chunk.offset == m_incoming->data.size())
        m_incoming->data += chunk.data;
    if (m_incoming->data.size() < chunk.totalBytes) {
        const SnapshotResponse response {
            .index = chunk.index, .receivedBytes = m_incoming->data.size(), .round = chunk.round
        };
        send(message.from, response, m_hardStateSequence);
        return;
    }
    if (checksumOf(m_incoming->data) != chunk.checksum) {
        m_incoming.reset();
        return;
    }
    installSnapshot(chunk);
    acknowledge(message.from, chunk.index, chunk.round);
}

void ReplicatedLog::installSnapshot(const SnapshotChunk& chunk)
{
    Snapshot snapshot { .index = chunk.index,
        .term = chunk.indexTerm,
        .members = encodeMembership(chunk.members),
        .data = std::make_shared<const std::string>(std::move(m_incoming->data)) };
    m_incoming.reset();
    m_log.resetTo(snapshot);
    m_commitIndex = m_drainedIndex = snapshot.index;
    m_isSnapshotUnwritten = m_isLogReset = true;
    m_unwrittenFrom = snapshot.index + 1;
    m_persistedIndex = 0;
    for (auto& [sequence, last] : m_writesInFlight)
        last = 0;
    m_installed = std::move(snapshot);
    rebuildMembership();
}

} // namespace hickoryknot
