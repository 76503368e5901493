#pragma once

#include <deque>
#include <map>
#include <vector>

#include "membership/HostRegistry.h"
#include "state/CellState.h"

namespace hickoryknot {

/// Chooses the zone for a cell job: the one with the most room left, or, if none has room, the one with the least work
/// assigned. Soft state of the cell leader.
class ZoneChoice {
public:
    explicit ZoneChoice(const CellState& state)
        : m_state(state)
    {
    }

    /// Takes the zones that may get jobs now, with the free capacity that their leaders report. `leaseHolders` and
    /// their capacities must be current.
    void begin(const std::map<ZoneId, Resources>& freeOfZone, TimePoint now);
    /// Empty if no zone may take the job.
    ZoneId choose(const CellJob&, TimePoint now);
    void clear() { m_recent.clear(); }

private:
    struct Candidate {
        ZoneId zone;
        // Free capacity less what was assigned since the zone's report.
        Resources room;
        // Processors of all open jobs of the zone.
        Millicores backlog;
    };
    struct Recent {
        TimePoint at;
        ZoneId zone;
        Resources demand;
    };

    const CellState& m_state;
    std::vector<Candidate> m_candidates;
    // Assignments that the zones' reports may not show yet.
    std::deque<Recent> m_recent;
};

} // namespace hickoryknot
