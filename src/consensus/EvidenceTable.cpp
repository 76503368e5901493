#include "consensus/EvidenceTable.h"

#include <algorithm>
#include <tuple>

namespace hickoryknot {

namespace {

auto position(const IdentityEvidence& evidence)
{
    return std::tuple(evidence.identity.incarnation, evidence.term, evidence.index);
}

} // namespace

const IdentityEvidence* EvidenceTable::find(const HostId& host, StoreId store) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
        [&](const auto& entry) { return entry.host == host && entry.identity.store == store; });
    return found == m_entries.end() ? nullptr : &*found;
}

bool EvidenceTable::merge(const IdentityEvidence& evidence)
{
    const auto* known = find(evidence.host, evidence.identity.store);
    if (!known) {
        m_entries.push_back(evidence);
        return true;
    }
    if (position(evidence) <= position(*known))
        return false;
    m_entries[static_cast<size_t>(known - m_entries.data())] = evidence;
    return true;
}

bool EvidenceTable::isOutdated(const HostId& host, const StoreIdentity& identity, const IdentityCheck& check) const
{
    const auto* known = find(host, identity.store);
    if (!known)
        return false;
    if (known->identity.incarnation != identity.incarnation) {
        const bool isBehind = std::tuple(check.storedTerm, check.storedIndex) < std::tuple(known->term, known->index);
        return known->identity.incarnation > identity.incarnation || isBehind;
    }
    return known->identity.session != identity.session;
}

bool EvidenceTable::isSuperseded(const HostId& host, const StoreIdentity& identity) const
{
    const auto* known = find(host, identity.store);
    return known && known->identity.incarnation > identity.incarnation;
}

bool EvidenceTable::knowsOtherStore(const HostId& host, StoreId store) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [&](const auto& entry) { return entry.host == host && entry.identity.store != store; });
}

void EvidenceTable::prune(const Membership& membership)
{
    std::erase_if(m_entries, [&](const IdentityEvidence& entry) {
        const Member* member = membership.find(entry.host);
        return !member || (member->store != StoreId::None && member->store != entry.identity.store);
    });
}

} // namespace hickoryknot
