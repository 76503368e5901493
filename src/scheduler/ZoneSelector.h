#pragma once

#include <deque>
#include <map>
#include <vector>

#include "membership/HostRegistry.h"
#include "state/CellState.h"

namespace hickoryknot {

/// Selects the zone for a cell job: the one with the most free capacity, or, if the job fits into no zone, the one with
/// the shortest backlog. Soft state of the cell leader.
class ZoneSelector {
public:
    explicit ZoneSelector(const CellState& state)
        : m_state(state)
    {
    }

    /// Sets the zones that may get jobs now, with the free capacity that their leaders report. The capacities must be
    /// current.
    void setCandidates(const std::map<ZoneId, Resources>& freeCapacityByZone, TimePoint now);
    /// Empty if no zone is eligible for the job.
    ZoneId select(const CellJob&, TimePoint now);
    void clear() { m_recentAssignments.clear(); }

private:
    struct Candidate {
        ZoneId zone;
        // Reported free capacity less the demand of recent assignments.
        Resources freeCapacity;
        // CPU demand of all open jobs of the zone.
        Millicores backlog;
    };
    struct RecentAssignment {
        TimePoint assignedAt;
        ZoneId zone;
        Resources demand;
    };

    const CellState& m_state;
    std::vector<Candidate> m_candidates;
    // Assignments that the reported capacities may not include yet.
    std::deque<RecentAssignment> m_recentAssignments;
};

} // namespace hickoryknot
