#pragma once

#include <vector>

#include "consensus/LogMessage.h"
#include "consensus/Membership.h"
#include "log/IdentityEvidence.h"

namespace hickoryknot {

/// The highest durable position known for each voter's store. Used to detect a store that was restored from an older
/// copy. Deterministic.
class EvidenceTable {
public:
    EvidenceTable() = default;
    explicit EvidenceTable(std::vector<IdentityEvidence> entries)
        : m_entries(std::move(entries))
    {
    }

    /// Keeps the newer of the stored and the given evidence for that host and store. Returns true if an entry changed.
    bool merge(const IdentityEvidence&);

    /// True if the checked store is behind its evidence, or if another session has used the same incarnation.
    bool isOutdated(const HostId&, const StoreIdentity&, const IdentityCheck&) const;

    /// True if a later incarnation of the same store is known.
    bool isSuperseded(const HostId&, const StoreIdentity&) const;

    /// True if there is evidence of a different store of that host.
    bool knowsOtherStore(const HostId&, StoreId) const;

    /// Removes hosts that are not members and stores other than the configured ones.
    void prune(const Membership&);

    const std::vector<IdentityEvidence>& entries() const { return m_entries; }

    /// Incremented on each change of the entries.
    uint64_t revision() const { return m_revision; }

private:
    const IdentityEvidence* find(const HostId&, StoreId) const;

    std::vector<IdentityEvidence> m_entries;
    uint64_t m_revision { 1 };
};

} // namespace hickoryknot
