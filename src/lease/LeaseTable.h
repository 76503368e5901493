#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/Time.h"
#include "lease/LeaseBound.h"

namespace hickoryknot {

/// The scheduler's side of all task leases, by assignment epoch. Leases are soft state: a new leader assumes that each
/// assignment was renewed at the moment it became leader.
class LeaseTable {
public:
    explicit LeaseTable(const LeaseTimes& times)
        : m_bound(times)
    {
    }

    /// Notes that an answer given at `answeredAt` carries a lease; never shortens an earlier one.
    void granted(uint64_t assignment, TimePoint answeredAt, Duration lease);

    /// The assignment has ended or is known not to run.
    void released(uint64_t assignment) { m_expiries.erase(assignment); }
    void clear() { m_expiries.clear(); }

    /// True if the task may still run at `now`, as far as leases tell.
    bool mayRun(uint64_t assignment, TimePoint now) const;

    /// Appends the assignments whose lease and drift have passed, in ascending order. They stay until released.
    void appendExpired(TimePoint now, std::vector<uint64_t>& assignments) const;

    size_t size() const { return m_expiries.size(); }

private:
    LeaseBound m_bound;
    std::unordered_map<uint64_t, TimePoint> m_expiries;
};

} // namespace hickoryknot
