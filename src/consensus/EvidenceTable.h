#pragma once

#include <vector>

#include "consensus/LogMessage.h"
#include "consensus/Membership.h"
#include "log/IdentityEvidence.h"

namespace hickoryknot {

/// What this host knows of the durable progress of the voters, to recognise an older copy of a disk. Deterministic.
class EvidenceTable {
public:
    EvidenceTable() = default;
    explicit EvidenceTable(std::vector<IdentityEvidence> entries)
        : m_entries(std::move(entries))
    {
    }

    /// Keeps the newer of the known and the given evidence of that host and store. Returns true if something changed.
    bool merge(const IdentityEvidence&);

    /// True if the asking store is behind what is known of it, or if another run of it has the same incarnation.
    bool isOutdated(const HostId&, const StoreIdentity&, const IdentityCheck&) const;

    /// True if a newer run of the same store is known.
    bool isSuperseded(const HostId&, const StoreIdentity&) const;

    /// True if another store of that host is known.
    bool knowsOtherStore(const HostId&, StoreId) const;

    /// Forgets hosts that are not members and stores other than the configured ones.
    void prune(const Membership&);

    const std::vector<IdentityEvidence>& entries() const { return m_entries; }

private:
    const IdentityEvidence* find(const HostId&, StoreId) const;

    std::vector<IdentityEvidence> m_entries;
};

} // namespace hickoryknot
