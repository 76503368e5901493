#include "consensus/ReplicatedLog.h"

namespace hickoryknot {

bool ReplicatedLog::maySendPromises() const
{
    return m_settings.identity.store != StoreId::None && m_identityState == IdentityState::Confirmed;
}

bool ReplicatedLog::mustWaitForLeader() const { return m_isFormationDenied && !m_log.lastIndex(); }

bool ReplicatedLog::mayVote() const
{
    return maySendPromises() && !mustWaitForLeader()
        && m_membership.isVoter(m_settings.self, m_settings.identity.store);
}

bool ReplicatedLog::mayStand() const
{
    if (!maySendPromises() || mustWaitForLeader())
        return false;
    // A host whose removal is in its log but not committed may hold the longest log, so nobody else may be able to win.
    for (auto change = m_membershipHistory.rbegin(); change != m_membershipHistory.rend(); ++change) {
        if (change->membership.isVoter(m_settings.self, m_settings.identity.store))
            return true;
        if (change->index <= m_commitIndex)
            break;
    }
    return mayVote();
}

void ReplicatedLog::sendIdentityChecks(TimePoint now)
{
    m_identityResendDue = now + m_settings.timings.heartbeat;
    for (const auto& member : m_membership.members()) {
        if (member.host != m_settings.self && !m_identityAnswers.contains(member.host))
            send(member.host, m_identityCheck, 0);
    }
}

void ReplicatedLog::evaluateIdentity(TimePoint now)
{
    if (m_identityState != IdentityState::Unconfirmed)
        return;
    size_t silent = 0;
    size_t answeredVoters = 0;
    for (const auto& member : m_membership.members()) {
        const bool hasAnswered = m_identityAnswers.contains(member.host);
        silent += member.host != m_settings.self && !hasAnswered ? 1 : 0;
        answeredVoters += member.isVoter && hasAnswered ? 1 : 0;
    }
    // With this host they make a majority, which overlaps with every majority that relied on this host.
    const bool hasQuorum = answeredVoters + 1 >= m_membership.quorum();
    if (hasQuorum && (!silent || now >= m_identityGraceEnd))
        m_identityState = IdentityState::Confirmed;
}

void ReplicatedLog::handle(const IdentityCheck& check, const LogMessage& message, TimePoint)
{
    const bool isOutdated = m_evidence.isOutdated(message.from, message.identity, check);
    if (!isOutdated && isKnownIdentity(message.from, message.identity.store))
        noteEvidence(message.from, message.identity, check.storedTerm, check.storedIndex);
    send(message.from,
        IdentityVerdict {
            .subject = message.identity, .isOutdated = isOutdated, .isGroupFormed = m_log.lastIndex() > 0 },
        0);
}

void ReplicatedLog::handle(const IdentityVerdict& verdict, const LogMessage& message, TimePoint now)
{
    if (m_identityState != IdentityState::Unconfirmed || verdict.subject != m_settings.identity)
        return;
    if (verdict.isOutdated) {
        m_identityState = IdentityState::Outdated;
        m_isRenewalWanted = true;
        return;
    }
    const bool hasNothing = !m_identityCheck.storedTerm && !m_identityCheck.storedIndex;
    if (hasNothing && verdict.isGroupFormed)
        m_isFormationDenied = true;
    // The word of a voter with a new store is worth nothing: it has forgotten what it saw.
    const Member* member = m_membership.find(message.from);
    if (!member || (member->isVoter && !isCountedVoter(message.from, message.identity.store)))
        return;
    m_identityAnswers.insert(message.from);
    evaluateIdentity(now);
}

// The configured store, or as long as none is configured, the first that was seen.
bool ReplicatedLog::isKnownIdentity(const HostId& host, StoreId store) const
{
    const Member* member = m_membership.find(host);
    if (member && member->isVoter && member->store != StoreId::None)
        return member->store == store;
    return !member || !member->isVoter || !m_evidence.knowsOtherStore(host, store);
}

bool ReplicatedLog::isCountedVoter(const HostId& host, StoreId store) const
{
    return m_membership.isVoter(host, store) && isKnownIdentity(host, store);
}

void ReplicatedLog::noteEvidence(const HostId& host, const StoreIdentity& identity, Term term, LogIndex index)
{
    if (!m_evidence.merge({ host, identity, term, index }))
        return;
    if (!m_isEvidenceChanged)
        m_evidenceWriteDue = m_now + m_settings.timings.heartbeat;
    m_isEvidenceChanged = true;
}

void ReplicatedLog::identityRenewed(const StoreIdentity& identity)
{
    m_settings.identity = identity;
    m_identityState = IdentityState::Confirmed;
}

} // namespace hickoryknot
