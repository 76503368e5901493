#include <utility>

#include "consensus/ReplicatedLog.h"

namespace hickoryknot {

bool ReplicatedLog::mayAcknowledge() const
{
    return m_settings.identity.store != StoreId::None && m_identityState == IdentityState::Confirmed;
}

bool ReplicatedLog::mustWaitForLeader() const { return m_isBootstrapForbidden && !m_log.lastIndex(); }

bool ReplicatedLog::mayVote() const
{
    return mayAcknowledge() && !mustWaitForLeader() && m_membership.isVoter(m_settings.self, m_settings.identity.store);
}

bool ReplicatedLog::mayCampaign() const
{
    if (!mayAcknowledge() || mustWaitForLeader())
        return false;
    // A host whose removal is in its log but uncommitted may have the longest log, so no other host may be electable.
    for (auto change = m_membershipHistory.rbegin(); change != m_membershipHistory.rend(); ++change) {
        if (change->membership.isVoter(m_settings.self, m_settings.identity.store))
            return true;
        if (change->index <= m_commitIndex)
            break;
    }
    return mayVote();
}

// The store may be an older copy, so the other members have to confirm that it is up to date.
void ReplicatedLog::beginIdentityCheck(const IdentityCheck& check, TimePoint now)
{
    m_identityState = IdentityState::Unconfirmed;
    m_identityCheck = check;
    m_identityGraceEnd = now + m_settings.timings.identityCheckTimeout;
    m_nextIdentityCheckAt = now;
    m_identityResponders.clear();
    evaluateIdentity(now);
}

// The operator may have put another disk in place of the failed one, so the store is checked as after a restart.
void ReplicatedLog::finishStorageRepair(TimePoint now)
{
    const RepairedStore repaired = *std::exchange(m_repairedStore, std::nullopt);
    m_settings.identity = repaired.identity;
    m_recoveredTerm = m_term;
    m_voteRefusalEnd = now + m_settings.timings.electionMin;
    beginIdentityCheck(repaired.content, now);
}

void ReplicatedLog::sendIdentityChecks(TimePoint now)
{
    m_nextIdentityCheckAt = now + m_settings.timings.heartbeat;
    for (const auto& member : m_membership.members()) {
        if (member.host != m_settings.self && !m_identityResponders.contains(member.host))
            send(member.host, m_identityCheck, 0);
    }
}

void ReplicatedLog::evaluateIdentity(TimePoint now)
{
    if (m_identityState != IdentityState::Unconfirmed)
        return;
    size_t missingResponses = 0;
    size_t respondedVoters = 0;
    for (const auto& member : m_membership.members()) {
        const bool hasResponded = m_identityResponders.contains(member.host);
        missingResponses += member.host != m_settings.self && !hasResponded ? 1 : 0;
        respondedVoters += member.isVoter && hasResponded ? 1 : 0;
    }
    // Together with this host they are a majority, which overlaps with every majority that counted this host.
    const bool hasQuorum = respondedVoters + 1 >= m_membership.quorum();
    if (hasQuorum && (!missingResponses || now >= m_identityGraceEnd))
        m_identityState = IdentityState::Confirmed;
}

void ReplicatedLog::handle(const IdentityCheck& check, const LogMessage& message, TimePoint)
{
    const bool isOutdated = m_evidence.isOutdated(message.from, message.identity, check);
    if (!isOutdated && isKnownIdentity(message.from, message.identity.store))
        recordEvidence(message.from, message.identity, check.storedTerm, check.storedIndex);
    send(message.from,
        IdentityCheckResponse {
            .subject = message.identity, .isOutdated = isOutdated, .isGroupBootstrapped = m_log.lastIndex() > 0 },
        0);
}

void ReplicatedLog::handle(const IdentityCheckResponse& response, const LogMessage& message, TimePoint now)
{
    if (m_identityState != IdentityState::Unconfirmed || response.subject != m_settings.identity)
        return;
    if (response.isOutdated) {
        m_identityState = IdentityState::Outdated;
        m_isIdentityRenewalPending = true;
        return;
    }
    const bool isStoreEmpty = !m_identityCheck.storedTerm && !m_identityCheck.storedIndex;
    if (isStoreEmpty && response.isGroupBootstrapped)
        m_isBootstrapForbidden = true;
    // The response of a voter with a new store does not count: its evidence was lost with the old store.
    const Member* member = m_membership.find(message.from);
    if (!member || (member->isVoter && !isEligibleVoter(message.from, message.identity.store)))
        return;
    m_identityResponders.insert(message.from);
    evaluateIdentity(now);
}

// True for the configured store or, while none is configured, the first one seen.
bool ReplicatedLog::isKnownIdentity(const HostId& host, StoreId store) const
{
    const Member* member = m_membership.find(host);
    if (member && member->isVoter && member->store != StoreId::None)
        return member->store == store;
    return !member || !member->isVoter || !m_evidence.knowsOtherStore(host, store);
}

bool ReplicatedLog::isEligibleVoter(const HostId& host, StoreId store) const
{
    return m_membership.isVoter(host, store) && isKnownIdentity(host, store);
}

void ReplicatedLog::recordEvidence(const HostId& host, const StoreIdentity& identity, Term term, LogIndex index)
{
    if (!m_evidence.merge({ host, identity, term, index }))
        return;
    if (!m_isEvidenceChanged)
        m_evidenceWriteDeadline = m_now + m_settings.timings.heartbeat;
    m_isEvidenceChanged = true;
}

void ReplicatedLog::onIdentityRenewed(const StoreIdentity& identity)
{
    m_settings.identity = identity;
    m_identityState = IdentityState::Confirmed;
}

} // namespace hickoryknot
