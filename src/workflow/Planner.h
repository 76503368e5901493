#pragma once

#include <deque>
#include <string>
#include <vector>

#include "workflow/CapacityForecast.h"
#include "workflow/OrganisationHeadroom.h"
#include "workflow/OrganisationShares.h"
#include "workflow/PermissionTracker.h"
#include "workflow/ReadyStep.h"
#include "workflow/SpeedPreference.h"
#include "workflow/WorkerTracker.h"

namespace hickoryknot::workflow {

class RunController;
struct TrackedRun;

/// Decides which ready tasks start on which workers. For overload, when more work is ready than fits, steps are ordered
/// by StepOrder.
/// Urgent tasks prefer fast workers and tasks with time left slow ones; see SpeedPreference.
/// Small tasks are packed onto the fullest workers, which leaves contiguous capacity for large tasks and gangs. A gang
/// that does not fit reserves the capacity in which all its tasks will fit soonest, by the expected ends of the runs
/// there; work that ends before then may still use that capacity. Close to its latest start, a gang preempts
/// checkpointing tasks of lower priority.
class Planner {
public:
    Planner(WorkerTracker& workerTracker, PermissionTracker& permissionTracker, const RunController& runController)
        : m_workerTracker(workerTracker)
        , m_permissionTracker(permissionTracker)
        , m_runController(runController)
    {
    }

    struct Placement {
        RunRef run;
        WorkerIncarnation incarnation;
        const StepSpec* spec;
        uint32_t priority;
        std::string permissionToken;
        std::optional<Duration> learnedRunTime; // See TrackedRun.
    };
    struct Decisions {
        std::vector<Placement> placements;
        std::vector<PermissionRequest> permissionRequests;
        std::vector<RunRef> preemptions;
    };

    /// Places the tasks that fit and leaves in `steps`, in scheduling order, the steps that were considered: all of
    /// them if they are few, otherwise all every 30 ms, and in between those that come before any long work. Must
    /// therefore be called at least that often. The only state that it changes for other decisions is the list of
    /// pending permission requests; the caller must allocate each placement on its worker before the next call.
    /// Of each organisation, starts no more than fits into its limit; steps of which nothing may start are neither
    /// considered nor left in `steps`.
    Decisions plan(std::vector<ReadyStep*>& steps, TimePoint now, const std::vector<Organisation>& organisations = {});

    /// True if the last pass placed the organisation's steps in this pool after those of others at their level.
    bool isBehindForShare(const OrganisationName&, const PoolName&) const;
    /// Use and share of each organisation in the last pass; empty if its table had fewer than two.
    const OrganisationShares& shares() const { return m_shares; }
    /// Forgets what it knows of organisations.
    void resetShares() { m_shares.clear(); }

private:
    /// Minimum number of workers in a request, including full workers: capacity is released and taken several times
    /// before the response arrives, and a step can only wait for capacity on workers that it may use. The additional
    /// workers lengthen the call by at most a third; objectives allow for one call of about this size per step.
    static constexpr size_t minNamedWorkersPerStep = 30;

    /// Free capacity of a worker during one planning pass. Flat, because every pass looks at all of them many times.
    struct WorkerCapacity {
        TrackedWorker* tracked;
        uint32_t number; // As in `tracked`.
        uint32_t pool; // Index into m_pools.
        Resources free; // Less what this pass has placed or reserved.
        const ReadyStep* lastStep { nullptr }; // The step of which this pass has placed tasks here last.
        uint32_t lastStepTasks { 0 }; // How many of its tasks.
        uint32_t plannedSuspects { 0 };
        bool isOnProbation { false };
        int speedClass { 0 }; // See speedClassOf().
        /// Capacity will be freed here by preemption for a gang that comes earlier; later steps may not use the worker.
        bool isReserved { false };
        /// Free capacity that is reserved for steps which come earlier. Only tasks that are expected to end before
        /// `reservedFrom` may use it.
        Resources reserved {};
        TimePoint reservedFrom { TimePoint::max() };
    };
    /// Forecast of a worker, kept between passes because it costs more than the rest of a decision.
    struct CachedForecast {
        CapacityForecast forecast;
        WorkerIncarnation incarnation;
        Resources used; // What the worker's runs took when it was built.
        TimePoint builtAt;
        uint64_t pass { 0 }; // Last pass that used it.
    };
    /// Largest free amount of each resource on any worker of a pool that has a label.
    struct LargestFree {
        uint32_t pool;
        const std::string* label; // Of a step of this pass; empty: all workers of the pool.
        Resources free;
    };
    /// When and where tasks of a step are expected to fit.
    struct Reservation {
        TimePoint startsAt; // When all of them fit.
        std::vector<WorkerCapacity*> workers; // One entry for each task, soonest first.
    };
    /// A worker on which tasks of a gang fit once the victims have ended.
    struct PreemptionOption {
        WorkerCapacity* worker;
        uint32_t capacity { 0 }; // Tasks that fit after the preemption.
        std::vector<const TrackedRun*> victims; // Least work lost first.
        double cost { 0 }; // Preempted millicores per task that fits.
    };

    /// Sets m_speeds and m_haveSpeedsDiffering.
    void compareSpeeds();
    /// Order in which the selected step uses workers with room: by preferred speed, then the fullest ones.
    bool isPreferred(const WorkerCapacity&, const WorkerCapacity&) const;
    /// When a task of the selected step that starts at `at` is expected to end, if the step prefers fast workers;
    /// otherwise `at`.
    TimePoint endOfSlot(const ReadyStep&, const WorkerCapacity&, TimePoint at) const;
    /// True if all tasks of the step should wait for faster workers than those with room, which are in the order of
    /// preference.
    bool isWorthWaiting(const ReadyStep&, const std::vector<WorkerCapacity*>& withRoom, TimePoint now);
    /// Sets of workers that a gang tries in turn.
    std::vector<std::vector<WorkerCapacity*>> gangGroups(
        const ReadyStep&, const std::vector<WorkerCapacity*>&, TimePoint now) const;

    /// Sets the state of the step that is being planned, without its permissions.
    void selectStep(const ReadyStep&);
    /// Plans the selected step.
    void planStep(const ReadyStep&, Decisions&, TimePoint now);
    /// Plans some of the steps beyond the first ones.
    void planFurtherSteps(const std::vector<ReadyStep*>&, size_t first, Decisions&, TimePoint now);
    /// Plans what the limit of the step's organisation lets start; false if that is nothing.
    bool planStepWithinLimit(const ReadyStep&, Decisions&, TimePoint now);
    /// Number of the step's tasks that the limit of its organisation lets start.
    uint32_t startableTasks(const ReadyStep&) const;
    bool isBehindForShare(uint32_t organisationPosition, const PoolName&) const;
    /// Begins a pass: removes the steps that limits hold back, and compares the organisations' use with their shares.
    void applyOrganisations(std::vector<ReadyStep*>&, const std::vector<Organisation>&, TimePoint now);
    /// Sorts the steps and removes those that this pass does not plan.
    void sortSteps(std::vector<ReadyStep*>&, bool isFullPass, TimePoint now) const;
    /// True if waiting for the next full pass adds little to the run time of the step.
    static bool isPatient(const ReadyStep&);
    static bool isPreemptible(const TrackedRun&, const ReadyStep&, TimePoint now);
    uint32_t fittingTasksWithin(
        const WorkerCapacity&, const ReadyStep&, const Resources& free, uint32_t maxTasks) const;
    uint32_t fittingTasks(const WorkerCapacity& worker, const ReadyStep& step, uint32_t maxTasks) const
    {
        return fittingTasksWithin(worker, step, availableTo(step, worker), maxTasks);
    }
    /// Free capacity, with what is reserved for a gang if a task that starts now ends before the gang starts.
    Resources availableTo(const ReadyStep&, const WorkerCapacity&) const;
    /// True if at least one task of the step fits.
    bool fits(const WorkerCapacity&, const ReadyStep&) const;
    /// True if pool, label, denials and earlier failures let the step run there; ignores free capacity and tokens.
    bool isEligible(const WorkerCapacity&, const ReadyStep&) const;
    bool isAllowed(const WorkerCapacity& worker) const { return m_stepPermissions->isAllowed(worker.number); }
    bool hasValidToken(const WorkerCapacity& worker, TimePoint now) const
    {
        return m_permissionTracker.token(*m_stepPermissions, *worker.tracked, now) != nullptr;
    }
    std::vector<WorkerCapacity*> candidates(const ReadyStep&, TimePoint now);
    /// Order for tasks under which a worker has crashed.
    static void sortForSuspects(std::vector<WorkerCapacity*>&);
    /// Null if the worker is not usable.
    WorkerCapacity* findWorker(uint32_t workerNumber) const
    {
        return workerNumber < m_workerByNumber.size() ? m_workerByNumber[workerNumber] : nullptr;
    }
    /// Eligible workers that may run the step, in the order of m_workers.
    std::vector<WorkerCapacity*> allowedWorkers(const ReadyStep&);
    /// Eligible workers of which no response says whether they may run the step.
    std::vector<WorkerCapacity*> unknownWorkers(const ReadyStep&);
    /// Upper bound of what is free on a worker that may run the step, as of its first use in this pass.
    const Resources& largestFree(const ReadyStep&);
    /// Index of the pool in m_pools; adds it if missing.
    uint32_t poolIndex(const PoolName&);
    void placeTasks(const ReadyStep&, const std::vector<WorkerCapacity*>&, Decisions&, TimePoint now);
    bool placeGang(const ReadyStep&, const std::vector<WorkerCapacity*>&, Decisions&, TimePoint now);
    void allocate(WorkerCapacity&, const ReadyStep&, size_t task, Decisions&, TimePoint now);
    /// True if capacity may stay reserved while the permission request for the step is pending.
    static bool hasShortPermissionCall(const ReadyStep&);
    /// Reserves capacity for `tasks` tasks on workers named in pending permission requests, so that later steps cannot
    /// take it.
    void reserveNamedWorkers(const ReadyStep&, size_t tasks);
    /// Requests permissions for a step of a workflow whose acceptance is being committed.
    void requestPermissionsEarly(const ReadyStep&, Decisions&, TimePoint now);
    void planTasks(const ReadyStep&, Decisions&, TimePoint now);
    void planGang(const ReadyStep&, Decisions&, TimePoint now);
    /// Prepares a gang that cannot start yet: requests permissions, and reserves capacity or preempts runs.
    void prepareGang(const ReadyStep&, Decisions&, TimePoint now);
    CapacityForecast& forecastOf(WorkerCapacity&);
    /// Finds the capacity in which `tasks` tasks, or as many as these workers can hold, fit soonest.
    Reservation findReservation(const ReadyStep&, const std::vector<WorkerCapacity*>& workers, size_t tasks);
    void reserve(const Reservation&);
    void reserveForUrgentTasks(const ReadyStep&, size_t tasks, TimePoint now);
    /// Requests new tokens for reserved workers so that they arrive when the gang can start.
    void renewTokens(const ReadyStep&, const Reservation&, const std::vector<WorkerCapacity*>& allowed, Decisions&);
    void requestPermissionsForTasks(const ReadyStep&, Decisions&, TimePoint now);
    /// Adds the workers without free capacity on which a task of the step will fit soonest.
    void nameFullWorkers(const ReadyStep&, std::vector<WorkerCapacity*>& named, TimePoint now);
    /// Requests permissions for all given workers, split into the number of calls with the shortest total time.
    void requestPermissions(const ReadyStep&, const std::vector<WorkerCapacity*>&, Decisions&);
    /// Tasks of the step that fit on the worker when nothing else runs there.
    uint32_t fittingTasksWhenEmpty(const WorkerCapacity& worker, const ReadyStep& step) const
    {
        return fittingTasksWithin(
            worker, step, worker.tracked->profile.capacity, static_cast<uint32_t>(step.tasks.size()));
    }
    /// `expected`: tasks that workers which are allowed already can hold when empty.
    void requestPermissionsForGang(const ReadyStep&, double expected, Decisions&);
    bool preemptForGang(const ReadyStep&, Decisions&, TimePoint now);
    PreemptionOption findPreemption(WorkerCapacity&, const ReadyStep&) const;

    WorkerTracker& m_workerTracker;
    PermissionTracker& m_permissionTracker;
    const RunController& m_runController;
    std::vector<WorkerCapacity> m_workers;
    std::vector<WorkerCapacity*> m_workerByNumber; // Null if the worker is not usable.
    std::vector<CachedForecast> m_forecasts; // By worker number.
    uint64_t m_pass { 0 };
    TimePoint m_nextFullPassAt;
    size_t m_nextFurtherStep { 0 }; // Where planFurtherSteps() goes on.
    size_t m_reservingGangs { 0 };
    SpeedSituation m_speeds; // Of the workers of this pass.
    bool m_haveSpeedsDiffering { false }; // Workers of this pass are in several speed classes.
    std::vector<const PoolName*> m_pools;
    std::vector<LargestFree> m_largestFree;
    OrganisationHeadroom m_headroom;
    OrganisationShares m_shares;
    std::vector<PoolName> m_shortPools; // In which more work waits than fits; known with two organisations only.
    /// Copies of steps with the tasks that their organisation's limit lets start. Their addresses are stable, because
    /// m_workers refers to steps.
    std::deque<ReadyStep> m_partialSteps;
    // State of the step that is being planned.
    const StepPermissions* m_stepPermissions { nullptr };
    Resources m_stepSize;
    uint32_t m_stepPool { 0 };
    SpeedPreference m_stepSpeed { SpeedPreference::Slow };
    TimePoint m_now;
};

} // namespace hickoryknot::workflow
