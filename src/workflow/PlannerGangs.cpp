// How gangs are planned: permissions for all members at once, reservations and preemption.

#include <algorithm>
#include <limits>

#include "workflow/Planner.h"
#include "workflow/RunController.h"

namespace hickoryknot::workflow {

namespace {

/// Expected capacity of the allowed workers when empty, as a multiple of the gang's demand. Under heavy load about half
/// of that capacity is taken by runs that must not be preempted.
constexpr double gangSurplusFactor = 6;
/// Maximum number of gangs with reserved capacity: one per workersPerReservingGang workers, but at least
/// minReservingGangs. More would leave too much capacity idle.
constexpr size_t minReservingGangs = 2;
constexpr size_t workersPerReservingGang = 10;
/// Runs of lower priority are preempted for a gang whose latest start is within this time: a stop, a permission request
/// and a start take up to two seconds. Before that, capacity may become free without preemption.
constexpr Duration preemptionWindow = 3s;
/// A gang whose reservation starts this long before its latest start does not preempt; covers a commit, a call to the
/// workers and rough estimates.
constexpr Duration reservationMargin = 500ms;
/// Runs beyond this progress are not preempted, because stopping them may take almost as long as finishing.
constexpr uint32_t nearCompletionPercent = 75;

} // namespace

// The set of allowed workers never changes, so every response also serves later decisions about the step. Names the
// workers on which most tasks will fit when the tokens arrive and while they are valid.
void Planner::requestPermissionsForGang(const ReadyStep& step, double expected, Decisions& decisions)
{
    const auto& cost = step.queue.permission;
    const TimePoint usedAt
        = m_now + cost.perCall + cost.perWorker * static_cast<int64_t>(minNamedWorkersPerStep) + cost.validity / 2;
    struct Option {
        WorkerCapacity* worker;
        Millicores free;
    };
    std::vector<Option> options;
    for (auto* worker : unknownWorkers(step))
        options.push_back({ worker, forecastOf(*worker).freeAt(worker->free, usedAt).millicores });
    std::sort(options.begin(), options.end(), [](const Option& a, const Option& b) {
        if (a.free != b.free)
            return a.free > b.free;
        return a.worker < b.worker;
    });
    const double grantedFraction = m_permissionTracker.grantedFraction(step.queue.name);
    const double wanted = gangSurplusFactor * static_cast<double>(step.tasks.size());
    std::vector<WorkerCapacity*> named;
    for (const auto& option : options) {
        if (expected >= wanted && named.size() >= minNamedWorkersPerStep)
            break;
        const uint32_t capacity = fittingTasksWhenEmpty(*option.worker, step);
        expected += grantedFraction * capacity;
        if (capacity)
            named.push_back(option.worker);
    }
    requestPermissions(step, named, decisions);
}

void Planner::planGang(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    if (placeGang(step, candidates(step, now), decisions, now))
        return;
    prepareGang(step, decisions, now);
    if (step.queue.permission.isNeeded)
        reserveNamedWorkers(step, step.tasks.size());
}

void Planner::prepareGang(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    const bool needsPermission = step.queue.permission.isNeeded;
    const bool mayRequest = needsPermission && m_permissionTracker.mayRequest(step.ref, now);
    const bool isWaitingForFirstResponse = needsPermission && !m_stepPermissions->hasResponses();
    const bool mayReserve = m_reservingGangs < std::max(minReservingGangs, m_workers.size() / workersPerReservingGang);
    const bool isUrgent = now > step.latestStart() - preemptionWindow && now < step.latestStart();
    // Most waiting gangs end here in most passes; looking at workers for each of them would dominate the pass.
    if (!mayRequest && (isWaitingForFirstResponse || (!mayReserve && !isUrgent)))
        return;
    if (isWaitingForFirstResponse)
        return requestPermissionsForGang(step, 0, decisions);
    const auto allowed = allowedWorkers(step);
    const auto reservation = mayReserve ? findReservation(step, allowed, step.tasks.size()) : Reservation {};
    const bool isComplete = reservation.workers.size() == step.tasks.size();
    const bool fitsNow = isComplete && reservation.startsAt <= now;
    if (!fitsNow && mayRequest) {
        double capacityOfAllowed = 0; // With nothing else running on them.
        for (const auto* worker : allowed)
            capacityOfAllowed += fittingTasksWhenEmpty(*worker, step);
        // Too few workers were named in earlier requests, or new workers have joined.
        if (capacityOfAllowed < gangSurplusFactor * static_cast<double>(step.tasks.size()))
            requestPermissionsForGang(step, capacityOfAllowed, decisions);
    }
    const bool isInTime = isComplete && reservation.startsAt + reservationMargin <= step.latestStart();
    if (isUrgent && !isInTime && preemptForGang(step, decisions, now))
        return;
    if (!isComplete)
        return;
    ++m_reservingGangs;
    if (mayRequest)
        renewTokens(step, reservation, allowed, decisions);
    reserve(reservation);
}

void Planner::renewTokens(const ReadyStep& step, const Reservation& reservation,
    const std::vector<WorkerCapacity*>& allowed, Decisions& decisions)
{
    const auto& cost = step.queue.permission;
    const Duration callTime = cost.perCall + cost.perWorker * static_cast<int64_t>(allowed.size());
    const bool areTokensValid = std::all_of(reservation.workers.begin(), reservation.workers.end(),
        [&](const WorkerCapacity* worker) { return hasValidToken(*worker, std::max(m_now, reservation.startsAt)); });
    if (areTokensValid || reservation.startsAt > m_now + callTime)
        return;
    // Capacity may move between workers in the meantime, and naming further workers is cheap compared with a call.
    requestPermissions(step, allowed, decisions);
}

bool Planner::placeGang(
    const ReadyStep& step, const std::vector<WorkerCapacity*>& workers, Decisions& decisions, TimePoint now)
{
    const auto count = static_cast<uint32_t>(step.tasks.size());
    const auto fill = [&](const std::vector<WorkerCapacity*>& among) {
        uint32_t capacity = 0;
        for (const auto* worker : among)
            capacity += fittingTasks(*worker, step, count - std::min(capacity, count));
        if (capacity < count)
            return false;
        size_t task = 0;
        double slowest = std::numeric_limits<double>::max();
        for (auto* worker : among) {
            const auto left = static_cast<uint32_t>(count - task);
            for (uint32_t remaining = fittingTasks(*worker, step, left); remaining; --remaining) {
                allocate(*worker, step, task++, decisions, now);
                slowest = std::min(slowest, worker->tracked->speed);
            }
        }
        for (size_t i = decisions.placements.size() - count; step.learnedRunTime && i < decisions.placements.size();
             ++i)
            decisions.placements[i].learnedRunTime = timeAtSpeed(*step.learnedRunTime, slowest);
        return true;
    };
    const auto groups = gangGroups(step, workers, now);
    for (size_t i = 0; step.spec->prefersOneRack && i < groups.size(); ++i) {
        std::map<RackId, std::vector<WorkerCapacity*>> racks;
        for (auto* worker : groups[i])
            racks[worker->tracked->profile.rack].push_back(worker);
        for (const auto& [rack, among] : racks) {
            if (fill(among))
                return true;
        }
    }
    return std::any_of(groups.begin(), groups.end(), fill);
}

bool Planner::isPreemptible(const TrackedRun& run, const ReadyStep& step, TimePoint now)
{
    const bool isEnding = run.phase == TrackedRun::Phase::Stopping || run.phase == TrackedRun::Phase::Stopped
        || run.phase == TrackedRun::Phase::Ended;
    const bool isResumable = run.spec.isCheckpointing && !run.spec.isGang && !run.spec.isLongRunning;
    return isEnding
        || (run.phase == TrackedRun::Phase::Confirmed && run.priority > step.queue.priority && isResumable
            && run.percent < nearCompletionPercent && !isNearlyDone(run, now));
}

Planner::PreemptionOption Planner::findPreemption(WorkerCapacity& worker, const ReadyStep& step) const
{
    PreemptionOption result { .worker = &worker, .victims = {} };
    std::vector<const TrackedRun*> runs;
    for (const auto* run : m_runController.runsOn(worker.tracked->incarnation())) {
        if (isPreemptible(*run, step, m_now))
            runs.push_back(run);
    }
    // Runs that are already ending cost nothing; then prefers large runs, so that few are preempted.
    const auto isEnding = [](const TrackedRun* run) { return run->phase != TrackedRun::Phase::Confirmed; };
    std::sort(runs.begin(), runs.end(), [&](const TrackedRun* a, const TrackedRun* b) {
        if (isEnding(a) != isEnding(b))
            return isEnding(a);
        if (a->spec.perTask.millicores != b->spec.perTask.millicores)
            return a->spec.perTask.millicores > b->spec.perTask.millicores;
        return a->run < b->run;
    });
    const auto demand = static_cast<uint32_t>(step.tasks.size());
    Resources free = worker.free;
    result.capacity = fittingTasksWithin(worker, step, free, demand);
    double lost = 0;
    for (const auto* run : runs) {
        free += resourceDemand(run->spec);
        lost += isEnding(run) ? 0 : static_cast<double>(resourceDemand(run->spec).millicores.count());
        result.victims.push_back(run);
        const uint32_t capacity = fittingTasksWithin(worker, step, free, demand);
        if (capacity == result.capacity)
            continue;
        result.capacity = capacity;
        result.cost = lost / capacity;
    }
    return result;
}

bool Planner::preemptForGang(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    const auto demand = static_cast<uint32_t>(step.tasks.size());
    const bool needsPermission = step.queue.permission.isNeeded;
    std::vector<PreemptionOption> options;
    uint32_t capacity = 0;
    for (auto* worker : allowedWorkers(step)) {
        if (worker->isReserved)
            continue;
        auto option = findPreemption(*worker, step);
        capacity += option.capacity;
        if (option.capacity)
            options.push_back(std::move(option));
    }
    if (capacity < demand)
        return false;
    std::sort(options.begin(), options.end(), [](const PreemptionOption& a, const PreemptionOption& b) {
        if (a.cost != b.cost)
            return a.cost < b.cost;
        return a.worker < b.worker;
    });
    std::vector<WorkerCapacity*> used;
    uint32_t found = 0;
    for (const auto& option : options) {
        if (found >= demand)
            break;
        const uint32_t wanted = std::min(option.capacity, demand - found);
        found += wanted;
        used.push_back(option.worker);
        option.worker->isReserved = true;
        Resources free = option.worker->free;
        for (const auto* run : option.victims) {
            if (fittingTasksWithin(*option.worker, step, free, wanted) >= wanted)
                break;
            free += resourceDemand(run->spec);
            if (run->phase == TrackedRun::Phase::Confirmed)
                decisions.preemptions.push_back(run->run);
        }
    }
    // Requests the permissions while the stops are in progress.
    const bool areAllValid = !needsPermission
        || std::all_of(
            used.begin(), used.end(), [&](const WorkerCapacity* worker) { return hasValidToken(*worker, now); });
    if (!areAllValid && m_permissionTracker.mayRequest(step.ref, now)) {
        std::vector<WorkerCapacity*> allowed;
        allowed.reserve(options.size());
        for (const auto& option : options)
            allowed.push_back(option.worker);
        requestPermissions(step, allowed, decisions);
    }
    return true;
}

} // namespace hickoryknot::workflow
