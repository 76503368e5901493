#include "consensus/ReplicatedLog.h"

#include "core/Assert.h"

namespace hickoryknot {

namespace {

constexpr LogIndex caughtUpWithin = 64; // Entries a learner may lack when it becomes a voter; a few round trips.

} // namespace

// The member list of the log, whose entries count as soon as they are stored.
void ReplicatedLog::rebuildMembership()
{
    m_membershipHistory.clear();
    const auto add = [&](LogIndex index, const std::string& bytes) {
        auto membership = decodeMembership(bytes);
        HICKORYKNOT_ASSERT(membership, "stored member lists are checked when they come in");
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
    const LogIndex index = appendOwn(EntryKind::Members, encodeMembership(membership));
    m_membershipHistory.push_back({ index, membership });
    m_membership = std::move(membership);
    m_evidence.prune(m_membership);
    membershipChanged();
    return index;
}

// Keeps one progress record per other member.
void ReplicatedLog::membershipChanged()
{
    std::erase_if(m_peers, [&](const auto& peer) { return !m_membership.contains(peer.first); });
    for (const auto& member : m_membership.members()) {
        if (member.host == m_settings.self || m_peers.contains(member.host))
            continue;
        PeerProgress peer;
        peer.next = m_log.lastIndex() + 1;
        m_peers.emplace(member.host, peer);
    }
}

// One change at a time keeps every old majority overlapping with every new one.
Expected<void> ReplicatedLog::checkChangeAllowed() const
{
    if (m_role != Role::Leader || !m_transferTarget.isEmpty())
        return notLeader();
    if (!isCommittedInOwnTerm())
        return makeError(ErrorCode::Unavailable, "the new leader has not committed an entry of its term yet");
    if (m_membershipHistory.back().index > m_commitIndex)
        return makeError(ErrorCode::Conflict, "another change of the members is not committed yet");
    return {};
}

Expected<LogIndex> ReplicatedLog::addMember(const HostId& host, bool isVoter, TimePoint now)
{
    m_now = now;
    if (const auto allowed = checkChangeAllowed(); !allowed)
        return tl::unexpected(allowed.error());
    const Member* known = m_membership.find(host);
    if (known && (known->isVoter || known->isVoterWanted || !isVoter))
        return m_commitIndex;
    Membership changed = m_membership;
    changed.set({ .host = host, .isVoterWanted = isVoter });
    return appendMembership(std::move(changed), now);
}

Expected<LogIndex> ReplicatedLog::removeMember(const HostId& host, TimePoint now)
{
    m_now = now;
    if (const auto allowed = checkChangeAllowed(); !allowed)
        return tl::unexpected(allowed.error());
    const Member* known = m_membership.find(host);
    if (!known)
        return makeError(ErrorCode::NotFound, host.value() + " is no member of " + m_settings.group);
    if (known->isVoter && m_membership.voterCount() == 1)
        return makeError(ErrorCode::InvalidArgument, host.value() + " is the last voter of " + m_settings.group);
    Membership changed = m_membership;
    changed.remove(host);
    return appendMembership(std::move(changed), now);
}

bool ReplicatedLog::isCaughtUp(const PeerProgress& peer) const
{
    return peer.hasAnswered && peer.isVoting && peer.mode == PeerProgress::Mode::Pipeline
        && peer.match + caughtUpWithin >= m_log.lastIndex();
}

Expected<LogIndex> ReplicatedLog::promote(const HostId& host, TimePoint now)
{
    m_now = now;
    if (const auto allowed = checkChangeAllowed(); !allowed)
        return tl::unexpected(allowed.error());
    const Member* known = m_membership.find(host);
    if (!known)
        return makeError(ErrorCode::NotFound, host.value() + " is no member of " + m_settings.group);
    if (known->isVoter)
        return m_commitIndex;
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end() || !peer->second.hasAnswered)
        return makeError(ErrorCode::Unavailable, host.value() + " has not answered yet");
    if (peer->second.identity.store == StoreId::None)
        return makeError(ErrorCode::InvalidArgument, host.value() + " has no sound disk and cannot vote");
    if (!isCaughtUp(peer->second))
        return makeError(ErrorCode::Unavailable, host.value() + " has not caught up yet");
    Membership changed = m_membership;
    changed.set({ .host = host, .store = peer->second.identity.store, .isVoter = true });
    return appendMembership(std::move(changed), now);
}

// A voter that answers with another store has lost what it promised. It becomes a learner in one change, and a voter
// with its new store in another. A voter without a store has only lost the use of its disk: its answers do not count,
// but it stays listed, since what it has acknowledged is still on the disk and may be the only other copy.
void ReplicatedLog::replaceChangedStore(TimePoint now)
{
    if (!checkChangeAllowed())
        return;
    for (const auto& member : m_membership.members()) {
        const auto peer = m_peers.find(member.host);
        if (!member.isVoter || peer == m_peers.end() || !peer->second.hasAnswered
            || peer->second.identity.store == StoreId::None
            || isKnownIdentity(member.host, peer->second.identity.store))
            continue;
        Membership changed = m_membership;
        changed.set({ .host = member.host, .isVoterWanted = true });
        appendMembership(std::move(changed), now);
        return;
    }
}

// Records the stores of the first voters, which the settings cannot know.
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
        const bool isReady = member.isVoterWanted && peer != m_peers.end() && isCaughtUp(peer->second)
            && peer->second.identity.store != StoreId::None;
        if (!isReady)
            continue;
        [[maybe_unused]] const auto promoted = promote(member.host, now);
        return;
    }
}

// A leader that was removed goes on until the change is committed.
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
    if (peer == m_peers.end() || !isCountedVoter(host, peer->second.identity.store))
        return makeError(ErrorCode::InvalidArgument, host.value() + " is no other voter of " + m_settings.group);
    if (!peer->second.isVoting)
        return makeError(ErrorCode::Unavailable, host.value() + " has not confirmed its right to vote yet");
    m_transferTarget = host;
    m_transferEnd = now + m_settings.timings.electionMax;
    m_heartbeatDue = now;
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
    if (peer->second.match != m_log.lastIndex())
        return;
    // The receiver's election passes by the patience on which the lease rests, even if the message comes late.
    m_hasOfferedTransfer = true;
    send(m_transferTarget, TimeoutNow {}, 0);
}

Expected<void> ReplicatedLog::replaceMembers(
    uint64_t generation, const std::vector<InitialMember>& members, TimePoint now)
{
    m_now = now;
    Membership forced = Membership::fromInitial(members);
    if (forced.voterCount() != 1 || !generation)
        return makeError(ErrorCode::InvalidArgument, "a group is formed anew with one voter and a generation above 0");
    const Term last = m_log.snapshot() ? std::max(m_log.snapshot()->term, m_log.lastTerm()) : m_log.lastTerm();
    const bool isUnderWay = m_forcedMembership && generationOf(m_term) >= generation;
    if (generationOf(m_term) > generation || generationOf(last) >= generation || isUnderWay)
        return {};
    const Member* self = forced.find(m_settings.self);
    if (self && self->isVoter && !(m_membership.isVoter(self->host, m_settings.identity.store) && m_log.lastIndex()))
        return makeError(ErrorCode::Unavailable, "this host holds no voter's copy of " + m_settings.group);
    const Term first = std::max(m_term, firstTermOf(generation));
    becomeFollower(first, HostId(), now);
    m_forcedMembership = std::move(forced);
    m_membership = *m_forcedMembership;
    // The old leader may trust its lease for this long.
    m_electionDue = std::max(now, m_lastLeaderContact + m_settings.timings.electionMin);
    return {};
}

} // namespace hickoryknot
