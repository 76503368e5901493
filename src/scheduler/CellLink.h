#pragma once

#include <map>
#include <set>
#include <vector>

#include "state/CellState.h"
#include "state/ZoneState.h"

namespace hickoryknot {

/// Carries cell jobs between the zone leader's copy of the cell state and the zone's own records: admits what the cell
/// assigned, stops what it moved or cancelled, reports outcomes and returns. Soft state of one leadership.
class CellLink {
public:
    CellLink(const ZoneState&, const CellState&, Duration cellRetry);

    /// Looks at all jobs again, at the start of a leadership.
    void begin();
    /// Notes jobs that have changed in either state.
    void changed(JobNumber);
    void allChanged();

    /// Commands for the zone's log. Their jobs are left alone until settled().
    std::vector<ZoneCommand> zoneCommands(UnixMs atMs);
    /// The result of such a command is there.
    void settled(const ZoneCommand&);
    /// Commands for the cell's log, repeated until the cell's record shows their effect.
    std::vector<CellCommand> cellCommands(TimePoint now, UnixMs atMs);

private:
    struct Batch {
        AdmitCellJobs admit;
        SupersedeJobs supersede;
        CancelZoneJobs cancel;
        ForgetCellJobs forget;
    };

    void look(uint32_t job, Batch&);
    void lookForgettable(Batch&);
    bool isDue(JobNumber, TimePoint now);
    CutOffRule ruleFor(const CellJob&) const;

    const ZoneState& m_state;
    const CellState& m_cell;
    Duration m_cellRetry;
    std::set<uint32_t> m_changed;
    std::set<uint32_t> m_inFlight;
    // Jobs that were cancelled before this zone admitted them.
    std::set<uint32_t> m_cancelledEarly;
    std::map<JobNumber, TimePoint> m_reportedAt;
};

} // namespace hickoryknot
