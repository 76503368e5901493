#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/Time.h"
#include "lease/LeaseCalculator.h"

namespace hickoryknot {

/// The grantor's side of all task leases, by assignment epoch. Leases are soft state: a new leader assumes that each
/// lease was renewed at the time at which it became leader.
class LeaseTable {
public:
    explicit LeaseTable(const LeaseTimes& times)
        : m_calculator(times)
    {
    }

    /// Records that a response sent at `grantedAt` grants a lease. Never shortens an earlier one.
    void recordGrant(uint64_t assignment, TimePoint grantedAt, Duration lease);

    /// The assignment has ended or is known not to run.
    void release(uint64_t assignment) { m_expiries.erase(assignment); }
    void clear() { m_expiries.clear(); }

    /// True if the lease may not have expired on the holder at `now`.
    bool mayRun(uint64_t assignment, TimePoint now) const;

    /// Appends the assignments whose lease plus drift has expired, in ascending order. They stay in the table until
    /// release().
    void appendExpired(TimePoint now, std::vector<uint64_t>& assignments) const;

    size_t size() const { return m_expiries.size(); }

private:
    LeaseCalculator m_calculator;
    std::unordered_map<uint64_t, TimePoint> m_expiries;
};

} // namespace hickoryknot
