#pragma once

#include <map>
#include <set>
#include <vector>

#include "state/CellState.h"
#include "state/ZoneState.h"

namespace hickoryknot {

/// Synchronises cell jobs between the zone leader's copy of the cell state and the zone state: admits jobs that the
/// cell assigned, supersedes or cancels jobs that it moved or cancelled, and reports outcomes and returned jobs to the
/// cell. Soft state of one leadership.
class CellJobSync {
public:
    CellJobSync(const ZoneState&, const CellState&, Duration cellRetry);

    /// Clears all soft state and marks all jobs as changed, at the start of a leadership.
    void reset();
    /// Marks a job that has changed in either state.
    void markChanged(JobNumber);
    void markAllChanged();

    /// Commands for the zone's log. Their jobs are skipped until onCommandResult().
    std::vector<ZoneCommand> collectZoneCommands(UnixMs atMs);
    /// Handles the result of a command that collectZoneCommands() returned.
    void onCommandResult(const ZoneCommand&);
    /// Commands for the cell's log, repeated until their effect shows in this copy of the cell state.
    std::vector<CellCommand> collectCellCommands(TimePoint now, UnixMs atMs);

private:
    struct Batch {
        AdmitCellJobs admit;
        SupersedeJobs supersede;
        CancelZoneJobs cancel;
        ForgetCellJobs forget;
    };

    void reconcileJob(uint32_t job, Batch&);
    void collectForgettable(Batch&);
    bool isReportDue(JobNumber, TimePoint now);
    CutOffRule strictestCutOffRule(const CellJob&) const;

    const ZoneState& m_state;
    const CellState& m_cell;
    Duration m_cellRetry;
    std::set<uint32_t> m_changed;
    std::set<uint32_t> m_inFlight;
    // Jobs that the cell cancelled before this zone admitted them.
    std::set<uint32_t> m_cancelledBeforeAdmission;
    std::map<JobNumber, TimePoint> m_reportedAt;
};

} // namespace hickoryknot
