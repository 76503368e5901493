#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "workflow/RunOutcome.h"
#include "workflow/SchedulerSettings.h"
#include "workflow/StepSpec.h"
#include "workflow/TrackedWorker.h"
#include "workflow/WorkerReport.h"

namespace hickoryknot::workflow {

/// Tracks all worker incarnations that the leader knows: which can take work, and their free capacity.
class WorkerTracker {
public:
    explicit WorkerTracker(const SchedulerSettings& settings)
        : m_settings(settings)
    {
    }

    void clear();

    /// Classifies a report for the recorded state.
    enum class ReportResult : uint8_t {
        Stale, // From an incarnation that has ended or may have, or overtaken by a later report.
        Unchanged,
        Changed, // A new incarnation, or a profile that differs from the recorded one.
    };
    ReportResult applyReport(const WorkerReport&, TimePoint now);

    /// Adds or updates the incarnation of a recorded profile.
    TrackedWorker& addRecorded(const WorkerProfile&, TimePoint now);
    /// Adds an incarnation that is known only from placed runs.
    TrackedWorker& addForRun(const WorkerIncarnation&, TimePoint leaseEnd);

    /// The response to a request for this incarnation came from another one, so that one is later, whatever the start
    /// times say: the worker's wall clock may have been put back between them.
    void markSuperseded(const WorkerIncarnation&, int64_t startTimeMs, TimePoint now);

    /// Another worker responded at this incarnation's address, so it has ended.
    void markReplacedAtAddress(const WorkerIncarnation&);
    /// The incarnation has responded to a poll.
    void onResponded(TrackedWorker&);
    /// Returns and clears the workers of which another incarnation than before has proved to be the latest one.
    std::vector<WorkerId> drainConfirmed();

    TrackedWorker* find(const WorkerIncarnation&);
    const TrackedWorker* find(const WorkerIncarnation&) const;
    /// The latest incarnation with this id; null if none is known.
    TrackedWorker* current(const WorkerId&);
    void remove(const WorkerIncarnation&);

    /// True if a later incarnation with the same id or address shows that this one has ended. Without a response that
    /// shows the order, the later start time counts.
    bool isSuperseded(const WorkerIncarnation&) const;

    /// True if the worker has reported its capacity to this leader recently enough to rely on it. The age of recorded
    /// profiles is unknown.
    bool isProfileCurrent(const TrackedWorker&, TimePoint now) const;

    /// True if nothing speaks against new work on the worker. After a change of the leader it may still have to report
    /// its capacity and its runs first.
    bool isHealthy(const TrackedWorker& worker, TimePoint now) const
    {
        return isPresent(worker, now) && !isOnProbation(worker, now);
    }

    /// True if new work may be sent to the worker.
    bool isUsable(const TrackedWorker& worker, TimePoint now) const
    {
        return isReadyForWork(worker, now) && !isOnProbation(worker, now);
    }
    /// The same without regard to probation.
    bool isReadyForWork(const TrackedWorker&, TimePoint now) const;
    /// True for some time after several failed runs in a row.
    static bool isOnProbation(const TrackedWorker& worker, TimePoint now) { return now < worker.probationEnd; }

    static void allocate(TrackedWorker&, const StepRef&, const StepSpec&);
    static void release(TrackedWorker&, const StepRef&, const StepSpec&);

    /// Updates the worker's failure count and probation after a run.
    void onRunEnded(TrackedWorker&, RunOutcome, TimePoint now);

    /// All incarnations, in a fixed order.
    std::map<WorkerIncarnation, TrackedWorker>& workers() { return m_workers; }
    const std::map<WorkerIncarnation, TrackedWorker>& workers() const { return m_workers; }

    /// Total processors of the pool's healthy workers.
    Millicores capacity(const PoolName&, TimePoint now) const;

private:
    /// True if the worker responds and stays.
    bool isPresent(const TrackedWorker&, TimePoint now) const;
    /// Returns the entry of an incarnation; creates it if needed.
    TrackedWorker& findOrAdd(const WorkerIncarnation&);
    bool isLatest(const WorkerIncarnation&) const;
    /// True if a response showed that a later incarnation, with an earlier start time, has replaced this one.
    bool hasEnded(const WorkerIncarnation&) const;
    /// True if another worker has started later at the same address.
    bool isAddressTaken(const WorkerIncarnation&) const;
    /// Makes this incarnation the latest one of its worker and at its address, whatever the start times say.
    void setLatest(const WorkerIncarnation&);
    /// Order of an incarnation that reports itself to the latest one of its worker.
    enum class ReportOrder : uint8_t {
        Earlier, // It has ended; the report was delayed.
        Latest,
        /// Start times are no proof, since a report may be late and a wall clock may have been put back in between. A
        /// poll will show which incarnation is running.
        Open,
    };
    ReportOrder orderOf(const WorkerIncarnation&, TimePoint now);

    const SchedulerSettings& m_settings;
    std::map<WorkerIncarnation, TrackedWorker> m_workers;
    struct Occupant {
        WorkerId worker;
        int64_t startTimeMs { 0 };
    };
    /// Start time of the latest known incarnation of each worker, and the latest worker at each address.
    std::unordered_map<WorkerId, int64_t> m_latestStartOfWorker;
    std::unordered_map<std::string, Occupant> m_latestAtAddress;
    /// Start times of ended incarnations that are later than that of the latest incarnation.
    std::unordered_map<WorkerId, std::set<int64_t>> m_endedStarts;
    std::vector<WorkerId> m_confirmed;
    std::unordered_map<WorkerId, uint32_t> m_numbers;
};

/// Resources that a task allocates from a worker's capacity.
Resources resourceDemand(const StepSpec&);

} // namespace hickoryknot::workflow
