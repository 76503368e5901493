#pragma once

#include <vector>

#include "core/Ids.h"
#include "placement/Interner.h"
#include "placement/TeamRecord.h"

namespace hickoryknot {

/// Quota and usage of each team.
class QuotaTracker {
public:
    TeamIndex intern(const TeamId& team)
    {
        const TeamIndex index = m_names.intern(team);
        if (index == m_records.size())
            m_records.emplace_back();
        return index;
    }

    const TeamId& name(TeamIndex team) const { return m_names.name(team); }
    TeamRecord& operator[](TeamIndex team) { return m_records[team]; }
    const TeamRecord& operator[](TeamIndex team) const { return m_records[team]; }
    uint32_t size() const { return static_cast<uint32_t>(m_records.size()); }

    /// True if the team may allocate `more` within its quota.
    bool allows(TeamIndex team, const Resources& more) const
    {
        return isWithin(m_records[team].used + more, m_records[team].quota);
    }
    /// True if `amount` is within `quota` in each limited dimension.
    static bool isWithin(const Resources& amount, const Resources& quota)
    {
        return (!quota.millicores.count() || amount.millicores <= quota.millicores)
            && (!quota.mebibytes.count() || amount.mebibytes <= quota.mebibytes)
            && (!quota.accelerators.count() || amount.accelerators <= quota.accelerators);
    }

private:
    Interner<TeamId> m_names;
    std::vector<TeamRecord> m_records;
};

} // namespace hickoryknot
