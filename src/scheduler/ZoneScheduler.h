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

/// Runs on the leader of a zone's group: takes worker reports, grants task leases, lets the placement engine decide,
/// proposes records and hands out start and stop instructions once they are committed. Deterministic and not thread
/// safe; all calls, and apply() of both states, come from one thread.
class ZoneScheduler {
public:
    using PlacerFactory = std::function<std::unique_ptr<Placer>()>;

    /// The states must outlive the scheduler. A new placer is made with each leadership.
    ZoneScheduler(ZoneSchedulerSettings, const ZoneState&, const CellState&, PlacerFactory);
    ~ZoneScheduler();

    /// The host leads the zone's group in `term` and the zone state holds all entries of earlier terms.
    void becomeLeader(uint64_t term, TimePoint now);
    /// The host no longer leads. All soft state is dropped; outstanding proposals need no result. Must be called before
    /// the first entry of a later term is applied to the zone state: what another leader placed is not this one's to
    /// start.
    void resign();
    bool isLeader() const;

    /// A majority of the group has acknowledged this leader in a round that began at `roundStartedAt`. Leases never
    /// reach further than one task lease past the latest such moment, so that a paused or cut off leader cannot extend
    /// a lease behind the back of its successor. Without it no lease is granted.
    void onLeadershipConfirmed(TimePoint roundStartedAt);
    /// The cell leader has renewed the zone's lease in answer to a message sent at `requestSentAt`.
    void onZoneLeaseRenewed(TimePoint requestSentAt, Duration lease);
    /// The cell leader has renewed the host's table lease. Without both leases work of cutOff=stop rows is not placed,
    /// and running tasks of cell jobs with that rule end with their leases.
    void onTableLeaseRenewed(TimePoint requestSentAt, Duration lease);

    /// Version of the cut-off rules that every lease on the zone's workers follows, for the cell leader; 0 while leases
    /// granted under older rules may still run.
    uint64_t cutOffVersionInForce(TimePoint now) const;

    /// Takes a worker's report and answers at once. The host may hold the answer back for `WorkerHeartbeat::wait` if
    /// isHoldable() says so, and must then replace it by answer() at the end of the wait.
    WorkerInstructions onHeartbeat(const WorkerHeartbeat&, TimePoint now);
    /// What there is to say to a worker that is waiting, with leases renewed as of its last report.
    WorkerInstructions buildInstructions(const WorkerId&, TimePoint now);
    /// True if the answer tells the worker nothing but renewed leases.
    static bool canDeferResponse(const WorkerHeartbeat&, const WorkerInstructions&);
    bool hasInstructions(const WorkerId&) const;
    /// Workers that have got something to be told since the last call, to wake their long polls.
    std::vector<WorkerId> drainWorkersToNotify();

    /// Looks at everything that has changed and returns what to propose. To be called every 50 ms and after entries
    /// were applied or heartbeats taken.
    ProposalBatch tick(TimePoint now, WallTime wall);
    /// The result of a proposal of either log.
    void onProposalResult(uint64_t token, const Expected<std::string>& result, TimePoint now);

    /// Facts of the record and the reasons of the placement engine, as sentences. NotFound: no such job in this zone.
    Expected<std::string> explainJob(const JobId&, TimePoint now, WallTime wall) const;
    /// Free capacity of the zone for the cell leader; zero while not leading.
    Resources freeCapacity() const;
    const WorkerRegistry& workers() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hickoryknot
