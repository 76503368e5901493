#include "consensus/ReplicatedLog.h"

#include "core/Assert.h"

namespace hickoryknot {

namespace {

constexpr LogIndex maxPromotionLagEntries = 64; // Few enough to be replicated within a few round trips.

} // namespace

// As in Raft, a member list takes effect when it is appended, not when it is committed.
void ReplicatedLog::rebuildMembership()
{
    m_membershipHistory.clear();
    const auto add = [&](LogIndex index, const std::string& bytes) {
        auto membership = decodeMembership(bytes);
        HICKORYKNOT_ASSERT(membership, "member lists are validated on receipt and recovery");
        m_membershipHistory.push_back({ index, std::move(*membership) });
    };
    if (m_log.snapshot())
        add(m_log.snapshot()->index, m_log.snapshot()->members);
    else
        m_membershipHistory.push_back({ 0, m_settings.initialMembers });
    Term lastTerm = m_log.snapshot() ? m_log.snapshot()->term : 0;
    for (LogIndex index = m_log.baseIndex() + 1; index <= m_log.lastIndex(); ++index) {
        const LogEntry& entry = m_log.at(index);
        if (entry.kind != EntryKind::Members || index <= m_membershipHistory.back().index)
            continue;
        add(index, entry.payload);
        lastTerm = entry.term;
    }
    if (m_forcedMembership && lastTerm && generationOf(lastTerm) >= generationOf(m_term))
        m_forcedMembership.reset();
    m_membership = m_forcedMembership ? *m_forcedMembership : m_membershipHistory.back().membership;
    m_evidence.prune(m_membership);
}

LogIndex ReplicatedLog::appendMembership(Membership membership, TimePoint)
{
    const LogIndex index = appendAsLeader(EntryKind::Members, encodeMembership(membership));
    m_membershipHistory.push_back({ index, membership });
    m_membership = std::move(membership);
    m_evidence.prune(m_membership);
    syncPeers();
    return index;
}

// Keeps one PeerProgress for each other member.
void ReplicatedLog::syncPeers()
{
    std::erase_if(m_peers, [&](const auto& peer) { return !m_membership.contains(peer.first); });
    for (const auto& member : m_membership.members()) {
        if (member.host == m_settings.self || m_peers.contains(member.host))
            continue;
        PeerProgress peer;
        peer.nextIndex = m_log.lastIndex() + 1;
        m_peers.emplace(member.host, peer);
    }
}

// Single-server changes: with one uncommitted change at a time old and new majorities overlap.
Expected<void> ReplicatedLog::checkChangeAllowed() const
{
    if (m_role != Role::Leader || !m_transferTarget.isEmpty())
        return notLeader();
    if (!hasCommittedInCurrentTerm())
        return makeError(ErrorCode::Unavailable, "the leader has not committed an entry of its term yet");
    if (m_membershipHistory.back().index > m_commitIndex)
        return makeError(ErrorCode::Conflict, "another membership change is not committed yet");
    return {};
}

Expected<LogIndex> ReplicatedLog::addMember(const HostId& host, bool isVoter, TimePoint now)
{
    m_now = now;
    if (const auto allowed = checkChangeAllowed(); !allowed)
        return tl::unexpected(allowed.error());
    const Member* known = m_membership.find(host);
    if (known && (known->isVoter || known->isPromotionPending || !isVoter))
        return m_commitIndex;
    Membership changed = m_membership;
    changed.set({ .host = host, .isPromotionPending = isVoter });
    return appendMembership(std::move(changed), now);
}

Expected<LogIndex> ReplicatedLog::removeMember(const HostId& host, TimePoint now)
{
    m_now = now;
    if (const auto allowed = checkChangeAllowed(); !allowed)
        return tl::unexpected(allowed.error());
    const Member* known = m_membership.find(host);
    if (!known)
        return makeError(ErrorCode::NotFound, host.value() + " is not a member of " + m_settings.group);
    if (known->isVoter && m_membership.voterCount() == 1)
        return makeError(ErrorCode::InvalidArgument, host.value() + " is the last voter of " + m_settings.group);
    Membership changed = m_membership;
    changed.remove(host);
    return appendMembership(std::move(changed), now);
}

bool ReplicatedLog::isCaughtUp(const PeerProgress& peer) const
{
    return peer.hasResponded && peer.isVoting && peer.mode == PeerProgress::Mode::Pipeline
        && peer.matchIndex + maxPromotionLagEntries >= m_log.lastIndex();
}

Expected<LogIndex> ReplicatedLog::promote(const HostId& host, TimePoint now)
{
    m_now = now;
    if (const auto allowed = checkChangeAllowed(); !allowed)
        return tl::unexpected(allowed.error());
    const Member* known = m_membership.find(host);
    if (!known)
        return makeError(ErrorCode::NotFound, host.value() + " is not a member of " + m_settings.group);
    if (known->isVoter)
        return m_commitIndex;
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end() || !peer->second.hasResponded)
        return makeError(ErrorCode::Unavailable, host.value() + " has not responded yet");
    if (peer->second.identity.store == StoreId::None)
        return makeError(ErrorCode::InvalidArgument, host.value() + " has no usable store and cannot vote");
    if (!isCaughtUp(peer->second))
        return makeError(ErrorCode::Unavailable, host.value() + " has not caught up yet");
    Membership changed = m_membership;
    changed.set({ .host = host, .store = peer->second.identity.store, .isVoter = true });
    return appendMembership(std::move(changed), now);
}

// A voter that responds with a different store has lost its acknowledged entries and votes. It is demoted to learner
// in one change and promoted with its new store in another. A voter without a store has a failed disk: its responses
// do not count, but it stays a voter, since its disk still has the acknowledged entries, maybe as the only other copy.
void ReplicatedLog::replaceChangedStore(TimePoint now)
{
    if (!checkChangeAllowed())
        return;
    for (const auto& member : m_membership.members()) {
        const auto peer = m_peers.find(member.host);
        if (!member.isVoter || peer == m_peers.end() || !peer->second.hasResponded
            || peer->second.identity.store == StoreId::None
            || isKnownIdentity(member.host, peer->second.identity.store))
            continue;
        Membership changed = m_membership;
        changed.set({ .host = member.host, .isPromotionPending = true });
        appendMembership(std::move(changed), now);
        return;
    }
}

// Records the store ids of the initial voters, which are not part of the settings.
void ReplicatedLog::bindStores(TimePoint now)
{
    if (!checkChangeAllowed())
        return;
    Membership changed = m_membership;
    for (Member member : m_membership.members()) {
        if (!member.isVoter || member.store != StoreId::None)
            continue;
        const auto peer = m_peers.find(member.host);
        if (member.host == m_settings.self)
            member.store = m_settings.identity.store;
        else if (peer != m_peers.end() && peer->second.isVoting
            && isKnownIdentity(member.host, peer->second.identity.store))
            member.store = peer->second.identity.store;
        changed.set(member);
    }
    if (!(changed == m_membership))
        appendMembership(std::move(changed), now);
}

void ReplicatedLog::promoteCaughtUp(TimePoint now)
{
    if (!checkChangeAllowed())
        return;
    for (const auto& member : m_membership.members()) {
        const auto peer = m_peers.find(member.host);
        const bool isPromotable = member.isPromotionPending && peer != m_peers.end() && isCaughtUp(peer->second)
            && peer->second.identity.store != StoreId::None;
        if (!isPromotable)
            continue;
        [[maybe_unused]] const auto promoted = promote(member.host, now);
        return;
    }
}

// A removed leader continues until the change is committed.
void ReplicatedLog::stepDownIfRemoved(TimePoint now)
{
    const bool isCommitted = m_membershipHistory.back().index <= m_commitIndex;
    if (m_role == Role::Leader && isCommitted && !m_membership.isVoter(m_settings.self, m_settings.identity.store))
        becomeFollower(m_term, HostId(), now);
}

Expected<void> ReplicatedLog::transferLeadership(const HostId& host, TimePoint now)
{
    m_now = now;
    if (m_role != Role::Leader)
        return notLeader();
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end() || !isEligibleVoter(host, peer->second.identity.store))
        return makeError(ErrorCode::InvalidArgument, host.value() + " is not another voter of " + m_settings.group);
    if (!peer->second.isVoting)
        return makeError(ErrorCode::Unavailable, host.value() + " has not confirmed yet that it may vote");
    m_transferTarget = host;
    m_transferEnd = now + m_settings.timings.electionMax;
    m_nextHeartbeatAt = now;
    return {};
}

void ReplicatedLog::continueTransfer(TimePoint now)
{
    if (m_transferTarget.isEmpty() || m_role != Role::Leader)
        return;
    const auto peer = m_peers.find(m_transferTarget);
    if (now >= m_transferEnd || peer == m_peers.end()) {
        m_transferTarget = HostId();
        return;
    }
    if (peer->second.matchIndex != m_log.lastIndex())
        return;
    // The election of the receiver bypasses the leader lease, even if TimeoutNow arrives late.
    m_hasSentTimeoutNow = true;
    send(m_transferTarget, TimeoutNow {}, 0);
}

Expected<void> ReplicatedLog::replaceMembers(
    uint64_t generation, const std::vector<InitialMember>& members, TimePoint now)
{
    m_now = now;
    Membership forced = Membership::fromInitial(members);
    if (forced.voterCount() != 1 || !generation)
        return makeError(
            ErrorCode::InvalidArgument, "a forced membership needs exactly one voter and a generation above 0");
    const Term last = m_log.snapshot() ? std::max(m_log.snapshot()->term, m_log.lastTerm()) : m_log.lastTerm();
    const bool isInProgress = m_forcedMembership && generationOf(m_term) >= generation;
    if (generationOf(m_term) > generation || generationOf(last) >= generation || isInProgress)
        return {};
    const Member* self = forced.find(m_settings.self);
    if (self && self->isVoter && !(m_membership.isVoter(self->host, m_settings.identity.store) && m_log.lastIndex()))
        return makeError(ErrorCode::Unavailable, "this host has no copy of the log as a voter of " + m_settings.group);
    const Term first = std::max(m_term, firstTermOf(generation));
    becomeFollower(first, HostId(), now);
    m_forcedMembership = std::move(forced);
    m_membership = *m_forcedMembership;
    // The lease of the old leader may be valid until then.
    m_electionDeadline = std::max(now, m_lastLeaderContact + m_settings.timings.electionMin);
    return {};
}

} // namespace hickoryknot
