#include "lease/LeaseTable.h"

#include <algorithm>

namespace hickoryknot {

void LeaseTable::recordGrant(uint64_t assignment, TimePoint grantedAt, Duration lease)
{
    const TimePoint expiry = m_calculator.expiry(grantedAt, lease);
    auto& known = m_expiries.try_emplace(assignment, expiry).first->second;
    known = std::max(known, expiry);
}

bool LeaseTable::mayRun(uint64_t assignment, TimePoint now) const
{
    const auto found = m_expiries.find(assignment);
    return found != m_expiries.end() && now < found->second;
}

void LeaseTable::appendExpired(TimePoint now, std::vector<uint64_t>& assignments) const
{
    const size_t first = assignments.size();
    for (const auto& [assignment, expiry] : m_expiries) {
        if (expiry <= now)
            assignments.push_back(assignment);
    }
    std::sort(assignments.begin() + static_cast<std::ptrdiff_t>(first), assignments.end());
}

} // namespace hickoryknot
