#include "consensus/ReplicatedLog.h"

#include <tuple>

namespace hickoryknot {

Duration ReplicatedLog::randomUpTo(Duration limit)
{
    return limit.count() > 0 ? Duration(m_random(static_cast<uint32_t>(limit.count()))) : Duration(0);
}

void ReplicatedLog::resetElectionTimeout(TimePoint now)
{
    const auto& timings = m_settings.timings;
    m_electionDeadline = now + timings.electionMin + randomUpTo(timings.electionMax - timings.electionMin);
    // A single member can start an election immediately.
    if (m_membership.members().size() == 1)
        m_electionDeadline = now;
}

bool ReplicatedLog::isLeaderAlive(TimePoint now) const
{
    if (now < m_voteRefusalEnd)
        return true;
    // Applies even if the leader is no longer known: its lease may still be valid.
    const TimePoint contact = m_role == Role::Leader ? quorumSendTime(now) : m_lastLeaderContact;
    return now < contact + m_settings.timings.electionMin;
}

void ReplicatedLog::startPreVote(TimePoint now)
{
    m_role = Role::PreCandidate;
    m_leader = HostId();
    m_votes.clear();
    if (mayVote())
        m_votes.insert(m_settings.self);
    // Other voters may have had later contact with the lost leader, so the pre-vote is retried soon.
    m_electionDeadline = now + m_settings.timings.heartbeat + randomUpTo(m_settings.timings.heartbeat);
    requestVotes(true, false, 0);
    if (hasVoteQuorum())
        startElection(false, now);
}

void ReplicatedLog::startElection(bool isTransfer, TimePoint now)
{
    m_role = Role::Candidate;
    m_leader = HostId();
    m_votes.clear();
    setTerm(m_term + 1, m_settings.self);
    m_ownVoteSequence = m_hardStateSequence;
    // After a split vote the next election starts sooner than after a lost leader.
    m_electionDeadline = now + m_settings.timings.electionMin / 2 + randomUpTo(m_settings.timings.electionMin);
    requestVotes(false, isTransfer, m_ownVoteSequence);
}

void ReplicatedLog::requestVotes(bool isPreVote, bool isTransfer, uint64_t afterSequence)
{
    const VoteRequest request { .term = isPreVote ? m_term + 1 : m_term,
        .lastIndex = m_log.lastIndex(),
        .lastTerm = m_log.lastTerm(),
        .isPreVote = isPreVote,
        .isTransfer = isTransfer };
    for (const auto& member : m_membership.members()) {
        if (member.isVoter && member.host != m_settings.self)
            send(member.host, request, afterSequence);
    }
}

bool ReplicatedLog::hasVoteQuorum() const { return m_votes.size() >= m_membership.quorum(); }

void ReplicatedLog::countOwnVote(TimePoint now)
{
    if (m_role != Role::Candidate || m_persistedSequence < m_ownVoteSequence)
        return;
    if (mayVote())
        m_votes.insert(m_settings.self);
    if (hasVoteQuorum())
        becomeLeader(now);
}

bool ReplicatedLog::isAcceptableCandidate(const VoteRequest& request, const LogMessage& message) const
{
    // A candidate that is not a voter in this log may have become one since; a known voter must have its known store.
    const bool isKnown = isKnownIdentity(message.from, message.identity.store);
    const bool isUpToDate
        = std::tuple(request.lastTerm, request.lastIndex) >= std::tuple(m_log.lastTerm(), m_log.lastIndex());
    // Hosts with erased disks must not bootstrap the group again while others have its log.
    const bool hasLog = request.lastIndex || !mustWaitForLeader();
    return mayAcknowledge() && hasLog && isKnown && message.identity.store != StoreId::None && isUpToDate;
}

void ReplicatedLog::handle(const VoteRequest& request, const LogMessage& message, TimePoint now)
{
    VoteResponse response { .term = request.term, .isPreVote = request.isPreVote, .isGranted = false };
    const bool isAcceptable = isAcceptableCandidate(request, message);
    if (request.isPreVote) {
        response.isGranted = isAcceptable && request.term > m_term && !isLeaderAlive(now);
        send(message.from, response, m_hardStateSequence);
        return;
    }
    if (isKnownIdentity(message.from, message.identity.store))
        recordEvidence(message.from, message.identity, request.term, 0);
    const bool isSameCandidate = m_votedFor == message.from;
    // An older copy of the disk may lack a vote granted in the recovered term.
    const bool isVoteAvailable = m_votedFor.isEmpty() && m_recoveredTerm != m_term;
    if (request.term == m_term && isAcceptable && m_role != Role::Leader && (isSameCandidate || isVoteAvailable)) {
        setTerm(m_term, message.from);
        resetElectionTimeout(now);
        response.isGranted = true;
    }
    send(message.from, response, m_hardStateSequence);
}

void ReplicatedLog::handle(const VoteResponse& response, const LogMessage& message, TimePoint now)
{
    // A voter in a higher term never grants a vote for a lower one, so this host has to adopt the higher term.
    if (response.isPreVote && m_role == Role::PreCandidate && message.term > m_term) {
        becomeFollower(message.term, HostId(), now);
        return;
    }
    const Role role = response.isPreVote ? Role::PreCandidate : Role::Candidate;
    const Term term = response.isPreVote ? m_term + 1 : m_term;
    const bool isVoter = isEligibleVoter(message.from, message.identity.store);
    if (!response.isGranted || m_role != role || response.term != term || !isVoter)
        return;
    if (!response.isPreVote)
        recordEvidence(message.from, message.identity, response.term, 0);
    m_votes.insert(message.from);
    if (!hasVoteQuorum())
        return;
    if (response.isPreVote)
        startElection(false, now);
    else
        becomeLeader(now);
}

void ReplicatedLog::handle(const TimeoutNow&, const LogMessage& message, TimePoint now)
{
    if (m_role == Role::Follower && message.from == m_leader && mayVote())
        startElection(true, now);
}

void ReplicatedLog::becomeFollower(Term term, const HostId& leader, TimePoint now)
{
    if (term > m_term)
        setTerm(term, HostId());
    if (m_role != Role::Follower || !leader.isEmpty())
        resetElectionTimeout(now);
    m_role = Role::Follower;
    m_leader = leader;
    m_votes.clear();
    m_peers.clear();
    m_roundTimes.clear();
    m_isRoundRequested = false;
    m_transferTarget = HostId();
}

void ReplicatedLog::becomeLeader(TimePoint now)
{
    m_role = Role::Leader;
    m_leader = m_settings.self;
    m_leaderSince = now;
    m_hasSentTimeoutNow = false;
    m_peers.clear();
    m_roundTimes.clear();
    if (m_forcedMembership)
        appendMembership(*std::exchange(m_forcedMembership, std::nullopt), now);
    else
        appendAsLeader(EntryKind::Empty, {});
    syncPeers();
    m_nextHeartbeatAt = now + m_settings.timings.heartbeat;
    m_nextLearnerHeartbeatAt = now;
    startRound(now);
}

TimePoint ReplicatedLog::quorumSendTime(TimePoint now) const
{
    return quorumValue(now, TimePoint::min(),
        [](const PeerProgress& peer) { return peer.hasResponded ? peer.acknowledgedSendTime : TimePoint::min(); });
}

void ReplicatedLog::checkQuorum(TimePoint now)
{
    const TimePoint contact = std::max(quorumSendTime(now), m_leaderSince);
    if (now - contact > m_settings.timings.electionMax)
        becomeFollower(m_term, HostId(), now);
}

TimePoint ReplicatedLog::lastLeaderContact() const
{
    return m_role == Role::Leader ? std::max(quorumSendTime(m_now), m_leaderSince) : m_lastLeaderContact;
}

bool ReplicatedLog::hasLeaderLease(TimePoint now) const
{
    if (m_role != Role::Leader || m_hasSentTimeoutNow || !hasCommittedInCurrentTerm())
        return false;
    const TimePoint contact = quorumSendTime(now);
    const auto& timings = m_settings.timings;
    return contact != TimePoint::min() && now < contact + timings.electionMin - timings.leaseMargin;
}

} // namespace hickoryknot
