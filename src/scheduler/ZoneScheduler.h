#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/Error.h"
#include "core/Time.h"
#include "protocol/WorkerHeartbeat.h"
#include "protocol/WorkerInstructions.h"
#include "scheduler/Placer.h"
#include "scheduler/Proposal.h"
#include "scheduler/ZoneSchedulerSettings.h"
#include "state/CellState.h"
#include "state/ZoneState.h"

namespace hickoryknot {

/// Runs on the leader of a zone's replication group: processes worker heartbeats, grants task leases, runs the
/// placement engine, proposes its decisions to the log and sends start and stop commands once they are committed.
/// Deterministic and not thread safe; all calls, and apply() of both states, must come from one thread.
class ZoneScheduler {
public:
    using PlacerFactory = std::function<std::unique_ptr<Placer>()>;

    /// The states must outlive the scheduler. A new placer is created with each leadership.
    ZoneScheduler(ZoneSchedulerSettings, const ZoneState&, const CellState&, PlacerFactory);
    ~ZoneScheduler();

    /// The host leads the zone's group in `term`, and the zone state includes all entries of earlier terms.
    void becomeLeader(uint64_t term, TimePoint now);
    /// The host no longer leads. Drops all soft state; outstanding proposals need no result. Must be called before the
    /// first entry of a later term is applied to the zone state, because this leader must not start tasks that another
    /// leader has placed.
    void resign();
    bool isLeader() const;

    /// A majority of the group has acknowledged this leader in a round that began at `roundStartedAt`. No lease ends
    /// later than one task lease after the latest such time, so that a paused or partitioned leader cannot extend a
    /// lease that its successor takes for expired. Without a confirmed round no lease is granted.
    void onLeadershipConfirmed(TimePoint roundStartedAt);
    /// The cell leader has renewed the zone's lease in the response to a message sent at `requestSentAt`.
    void onZoneLeaseRenewed(TimePoint requestSentAt, Duration lease);
    /// The cell leader has renewed the host's table lease. Without both leases no tasks of rows with cutOff=stop are
    /// placed, and running tasks of cell jobs with that rule end with their leases.
    void onTableLeaseRenewed(TimePoint requestSentAt, Duration lease);

    /// Table version whose cut-off rules apply to every lease of the zone's workers, to be reported to the cell leader.
    /// 0 while leases granted under older rules may still be valid.
    uint64_t cutOffVersionInForce(TimePoint now) const;

    /// Handles a worker's heartbeat and returns the response. If canDeferResponse() returns true, the host may defer
    /// the response for `WorkerHeartbeat::wait` and must then replace it by the result of buildInstructions() at the
    /// end of the wait.
    WorkerInstructions onHeartbeat(const WorkerHeartbeat&, TimePoint now);
    /// Response to a worker whose long poll is waiting, with leases renewed according to its last heartbeat.
    WorkerInstructions buildInstructions(const WorkerId&, TimePoint now);
    /// True if the response contains nothing but lease renewals.
    static bool canDeferResponse(const WorkerHeartbeat&, const WorkerInstructions&);
    bool hasInstructions(const WorkerId&) const;
    /// Workers that got pending instructions since the last call, to complete their long polls.
    std::vector<WorkerId> drainWorkersToNotify();

    /// Processes all changes and returns the commands to propose. Must be called every 50 ms and after entries were
    /// applied or heartbeats received.
    ProposalBatch tick(TimePoint now, WallTime wall);
    /// Handles the result of a proposal to either log.
    void onProposalResult(uint64_t token, const Expected<std::string>& result, TimePoint now);

    /// Describes the job's record and the placement engine's reasons. NotFound: no such job in this zone.
    Expected<std::string> explainJob(const JobId&, TimePoint now, WallTime wall) const;
    /// Free capacity of the zone for the cell leader; zero while not leading.
    Resources freeCapacity() const;
    const WorkerRegistry& workers() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hickoryknot
