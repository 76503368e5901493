#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "workflow/RunOutcome.h"
#include "workflow/SchedulerSettings.h"
#include "workflow/StepSpec.h"
#include "workflow/WorkerReport.h"
#include "workflow/WorkerView.h"

namespace hickoryknot::workflow {

/// All lives of workers that the leader knows: who can take work, and how much room there is.
class WorkerTracker {
public:
    explicit WorkerTracker(const SchedulerSettings& settings)
        : m_settings(settings)
    {
    }

    void clear();

    /// What a report means for the record.
    enum class News : uint8_t {
        Stale, // From an ended life, or overtaken by a later report.
        Known,
        Changed, // A new life, or a profile that differs from the recorded one.
    };
    News reported(const WorkerReport&, TimePoint now);

    /// A life that the record names; creates it if need be.
    WorkerView& recorded(const WorkerProfile&, TimePoint now);
    /// A life that only placed runs refer to.
    WorkerView& fromRun(const WorkerIncarnation&, TimePoint leaseEnd);

    /// An answer showed that a later life has taken the place of this one.
    void succeeded(const WorkerIncarnation&, int64_t bornMs, TimePoint now);

    WorkerView* find(const WorkerIncarnation&);
    const WorkerView* find(const WorkerIncarnation&) const;
    /// The latest life under this id; null if none is known.
    WorkerView* current(const WorkerId&);
    void forget(const WorkerIncarnation&);

    /// True if a later life under the same id, or at the same address, shows that this one has ended.
    bool isSucceeded(const WorkerIncarnation&) const;

    /// True if new work may be sent to the worker at all.
    bool isUsable(const WorkerView&, TimePoint now) const;

    static void occupy(WorkerView&, const StepRef&, const StepSpec&);
    static void release(WorkerView&, const StepRef&, const StepSpec&);

    /// Learns from the end of a run whether the worker fails what it starts.
    void runEnded(WorkerView&, RunOutcome, TimePoint now);

    /// All lives, in a fixed order.
    std::map<WorkerIncarnation, WorkerView>& workers() { return m_views; }
    const std::map<WorkerIncarnation, WorkerView>& views() const { return m_views; }

    /// Processors of all workers of a pool that may get work.
    Millicores capacity(const PoolName&, TimePoint now) const;

private:
    /// The view of a life, created if need be.
    WorkerView& viewOf(const WorkerIncarnation&);
    void noteBirth(const WorkerIncarnation&);

    const SchedulerSettings& m_settings;
    std::map<WorkerIncarnation, WorkerView> m_views;
    /// Latest birth of a life that has reported itself, by id and by address.
    std::unordered_map<WorkerId, int64_t> m_latestOfWorker;
    std::unordered_map<std::string, int64_t> m_latestAtAddress;
    std::unordered_map<WorkerId, uint32_t> m_numbers;
};

/// Resources that a task takes from a worker's capacity.
Resources occupied(const StepSpec&);

} // namespace hickoryknot::workflow
