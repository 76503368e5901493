#include "workflow/Planner.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "workflow/RunController.h"
#include "workflow/StepOrder.h"

namespace hickoryknot::workflow {

namespace {

/// Maximum number of workers in one permission request.
constexpr size_t maxWorkersPerRequest = 100;
/// Target capacity of the named workers as a multiple of the demand, before division by the granted fraction. With a
/// factor of 1, one in four responses grants too few workers.
constexpr double taskSurplusFactor = 1.5;
/// A request is split when the time for its workers exceeds this multiple of the fixed time per call, so that several
/// hosts can serve the parts in parallel.
constexpr int64_t maxNamingTimeFactor = 1;
constexpr size_t minWorkersPerPartialRequest = 20;
/// Capacity is reserved during a permission call of at most this fraction of the task's run time. Without the
/// reservation, queues with long-lived tokens take all capacity before queues that need a token for each step.
constexpr double shortCallFraction = 0.05;
/// Maximum number of steps per planning pass. Steps further back are unlikely to fit, as those before them have not.
constexpr size_t maxStepsPerPlan = 256;
/// Number of steps beyond these that a pass plans because a worker of their kind still has capacity; the next pass goes
/// on with those that follow.
constexpr size_t maxFurtherSteps = 64;
/// Tasks of a step that must start within this time reserve the capacity in which they will fit soonest; otherwise less
/// urgent work takes each part of it as it is released.
constexpr Duration urgentWindow = 500ms;
/// Time between passes that plan all steps. With many waiting steps such a pass takes milliseconds, which the start of
/// each short task would wait for several times.
constexpr Duration fullPassInterval = 30ms;
/// A pass over this many steps is short.
constexpr size_t maxStepsPerShortPass = 16;
/// A step is patient if the time between full passes is at most this fraction of its run time.
constexpr int64_t patienceDivisor = 80;
/// A task uses capacity that is reserved for a gang if it ends before the gang starts even when it takes this much
/// longer than estimated.
constexpr int64_t backfillMarginPercent = 25;
/// Expected ends change with reported progress, which each worker with runs sends at least this often.
constexpr Duration maxForecastAge = 1s;
/// Time for which a step avoids workers on which it failed, even if no other worker fits; about one run time.
constexpr Duration avoidFailedWorkerFor = 3s;

} // namespace

bool Planner::isPatient(const ReadyStep& step) { return step.runTime() >= fullPassInterval * patienceDivisor; }

// A pass that is not full plans the steps that come before all patient ones. They are decided as in a full pass,
// because no decision depends on later steps.
void Planner::sortSteps(std::vector<ReadyStep*>& steps, bool isFullPass, TimePoint now) const
{
    std::vector<std::pair<StepOrder, ReadyStep*>> ordered;
    ordered.reserve(steps.size());
    std::optional<StepOrder> firstPatient;
    for (auto* step : steps) {
        const StepOrder& order
            = ordered
                  .emplace_back(
                      StepOrder(*step, now, isBehindForShare(step->organisationPosition, step->queue.pool)), step)
                  .first;
        if (isPatient(*step) && (!firstPatient || order < *firstPatient))
            firstPatient = order;
    }
    if (!isFullPass && firstPatient)
        std::erase_if(ordered, [&](const auto& item) { return !(item.first < *firstPatient); });
    std::sort(ordered.begin(), ordered.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    steps.resize(ordered.size());
    for (size_t i = 0; i < steps.size(); ++i)
        steps[i] = ordered[i].second;
}

Planner::Decisions Planner::plan(
    std::vector<ReadyStep*>& steps, TimePoint now, const std::vector<Organisation>& organisations)
{
    Decisions decisions;
    m_now = now;
    m_workers.clear();
    m_pools.clear();
    m_reservingGangs = 0;
    ++m_pass;
    for (auto& [incarnation, tracked] : m_workerTracker.workers()) {
        if (!m_workerTracker.isReadyForWork(tracked, now))
            continue;
        m_workers.push_back({ .tracked = &tracked,
            .number = tracked.number,
            .pool = poolIndex(tracked.profile.pool),
            .free = tracked.free(),
            .isOnProbation = WorkerTracker::isOnProbation(tracked, now),
            .speedClass = speedClassOf(tracked.speed) });
    }
    compareSpeeds();
    m_workerByNumber.clear();
    for (auto& worker : m_workers) {
        if (worker.number >= m_workerByNumber.size())
            m_workerByNumber.resize(worker.number + 1);
        m_workerByNumber[worker.number] = &worker;
    }
    applyOrganisations(steps, organisations, now);
    const bool isFullPass = steps.size() <= maxStepsPerShortPass || now >= m_nextFullPassAt;
    if (isFullPass)
        m_nextFullPassAt = now + fullPassInterval;
    sortSteps(steps, isFullPass, now);
    m_largestFree.clear();
    size_t next = 0;
    for (size_t planned = 0; next < steps.size() && planned < maxStepsPerPlan; ++next) {
        selectStep(*steps[next]);
        planned += planStepWithinLimit(*steps[next], decisions, now) ? 1 : 0;
    }
    if (next < steps.size())
        planFurtherSteps(steps, next, decisions, now);
    return decisions;
}

// Takes the steps in turn, because those that seem to fit and do not must not hide the ones behind them.
void Planner::planFurtherSteps(const std::vector<ReadyStep*>& steps, size_t first, Decisions& decisions, TimePoint now)
{
    const size_t count = steps.size() - first;
    size_t planned = 0;
    size_t looked = 0;
    for (; looked < count && planned < maxFurtherSteps; ++looked) {
        const ReadyStep& step = *steps[first + (m_nextFurtherStep + looked) % count];
        selectStep(step);
        if (!m_stepSize.isCoveredBy(largestFree(step)))
            continue;
        planned += planStepWithinLimit(step, decisions, now) ? 1 : 0;
    }
    // The most urgent ones come first again once all have had their turn.
    m_nextFurtherStep = looked < count ? (m_nextFurtherStep + looked) % count : 0;
}

void Planner::selectStep(const ReadyStep& step)
{
    m_stepSize = resourceDemand(*step.spec);
    m_stepPool = poolIndex(step.queue.pool);
    m_stepSpeed = speedPreferenceOf(step, m_speeds, m_now);
}

void Planner::planStep(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    m_stepPermissions = &m_permissionTracker.permissionsOf(step.ref);
    if (!step.isAccepted)
        requestPermissionsEarly(step, decisions, now);
    else if (step.spec->isGang)
        planGang(step, decisions, now);
    else
        planTasks(step, decisions, now);
}

const Resources& Planner::largestFree(const ReadyStep& step)
{
    const std::string& label = step.spec->requiredLabel;
    const auto known = std::find_if(m_largestFree.begin(), m_largestFree.end(),
        [&](const LargestFree& entry) { return entry.pool == m_stepPool && *entry.label == label; });
    if (known != m_largestFree.end())
        return known->free;
    LargestFree& added = m_largestFree.emplace_back(LargestFree { .pool = m_stepPool, .label = &label, .free = {} });
    for (const auto& worker : m_workers) {
        if (worker.pool == m_stepPool && (label.empty() || worker.tracked->profile.hasLabel(label)))
            added.free = maxOf(added.free, worker.free);
    }
    return added.free;
}

uint32_t Planner::poolIndex(const PoolName& pool)
{
    const auto found
        = std::find_if(m_pools.begin(), m_pools.end(), [&](const PoolName* known) { return *known == pool; });
    const auto index = static_cast<uint32_t>(found - m_pools.begin());
    if (found == m_pools.end())
        m_pools.push_back(&pool);
    return index;
}

bool Planner::fits(const WorkerCapacity& worker, const ReadyStep& step) const
{
    return m_stepSize.isCoveredBy(availableTo(step, worker))
        && (!step.spec->maxPerWorker || fittingTasks(worker, step, 1));
}

Resources Planner::availableTo(const ReadyStep& step, const WorkerCapacity& worker) const
{
    if (worker.reservedFrom == TimePoint::max() || step.spec->isLongRunning)
        return worker.free;
    const Duration runTime = timeAtSpeed(step.runTime(), worker.tracked->speed) * (100 + backfillMarginPercent) / 100;
    return m_now + runTime <= worker.reservedFrom ? worker.free + worker.reserved : worker.free;
}

uint32_t Planner::fittingTasksWithin(
    const WorkerCapacity& worker, const ReadyStep& step, const Resources& free, uint32_t maxTasks) const
{
    uint32_t limit = maxTasks;
    if (step.spec->maxPerWorker) {
        const auto present = worker.tracked->taskCountByStep.find(step.ref);
        const uint32_t count = (present == worker.tracked->taskCountByStep.end() ? 0 : present->second)
            + (worker.lastStep == &step ? worker.lastStepTasks : 0);
        limit = std::min(limit, step.spec->maxPerWorker > count ? step.spec->maxPerWorker - count : 0);
    }
    const Resources& size = m_stepSize;
    const auto fit = [&](int64_t have, int64_t demand) {
        if (demand > 0)
            limit = static_cast<uint32_t>(std::clamp<int64_t>(have / demand, 0, limit));
    };
    fit(free.millicores.count(), size.millicores.count());
    fit(free.mebibytes.count(), size.mebibytes.count());
    fit(free.accelerators.count(), size.accelerators.count());
    return limit;
}

bool Planner::isEligible(const WorkerCapacity& worker, const ReadyStep& step) const
{
    if (worker.pool != m_stepPool || m_stepPermissions->isDenied(worker.number)
        || (!step.spec->requiredLabel.empty() && !worker.tracked->profile.hasLabel(step.spec->requiredLabel)))
        return false;
    const bool hasWaited = m_now - step.readySince >= avoidFailedWorkerFor;
    // A task that lasts has no attempts to lose, and may have no other worker.
    if (worker.isOnProbation && !(step.spec->isLongRunning && hasWaited))
        return false;
    return step.avoidedWorkers.empty() || hasWaited
        || !step.avoidedWorkers.contains(worker.tracked->incarnation().worker);
}

std::vector<Planner::WorkerCapacity*> Planner::candidates(const ReadyStep& step, TimePoint now)
{
    std::vector<WorkerCapacity*> found;
    const auto consider = [&](WorkerCapacity& worker) {
        // Checks capacity first, because most workers are full under heavy load.
        if (!worker.isReserved && fits(worker, step) && isEligible(worker, step)
            && (!step.queue.permission.isNeeded || hasValidToken(worker, now)))
            found.push_back(&worker);
    };
    if (!step.queue.permission.isNeeded) {
        for (auto& worker : m_workers)
            consider(worker);
    } else if (m_permissionTracker.mayHaveTokens(*m_stepPermissions, now)) {
        for (const uint32_t number : m_stepPermissions->allowedWorkers()) {
            if (WorkerCapacity* worker = findWorker(number))
                consider(*worker);
        }
    }
    if (step.isSuspect) {
        sortForSuspects(found);
        return found;
    }
    // Prefers the rack that holds the data.
    std::sort(found.begin(), found.end(), [&](const WorkerCapacity* a, const WorkerCapacity* b) {
        const bool isNearA = !step.spec->dataRack.isEmpty() && a->tracked->profile.rack == step.spec->dataRack;
        const bool isNearB = !step.spec->dataRack.isEmpty() && b->tracked->profile.rack == step.spec->dataRack;
        if (isNearA != isNearB)
            return isNearA;
        return isPreferred(*a, *b);
    });
    return found;
}

// If a worker with only one suspect crashes, that task did it; a mostly free worker loses the least work.
void Planner::sortForSuspects(std::vector<WorkerCapacity*>& workers)
{
    const auto suspects
        = [](const WorkerCapacity& worker) { return worker.tracked->suspectRuns + worker.plannedSuspects; };
    std::sort(workers.begin(), workers.end(), [&](const WorkerCapacity* a, const WorkerCapacity* b) {
        if (suspects(*a) != suspects(*b))
            return suspects(*a) < suspects(*b);
        if (a->free.millicores != b->free.millicores)
            return a->free.millicores > b->free.millicores;
        return a < b;
    });
}

void Planner::allocate(WorkerCapacity& worker, const ReadyStep& step, size_t task, Decisions& decisions, TimePoint now)
{
    worker.free -= m_stepSize;
    m_headroom.take(step.organisationPosition, step.spec->perTask);
    // A task that ends before the gang starts has borrowed from the reserved capacity.
    const Resources borrowed = minOf(maxOf(Resources {} - worker.free, {}), worker.reserved);
    worker.free += borrowed;
    worker.reserved -= borrowed;
    if (std::exchange(worker.lastStep, &step) != &step)
        worker.lastStepTasks = 0;
    ++worker.lastStepTasks;
    worker.plannedSuspects += step.isSuspect ? 1 : 0;
    const std::string* permissionToken = m_permissionTracker.token(*m_stepPermissions, *worker.tracked, now);
    decisions.placements.push_back(
        { .run = { .task = { .step = step.ref, .index = step.tasks[task].index }, .run = step.tasks[task].nextRun },
            .incarnation = worker.tracked->incarnation(),
            .spec = step.spec,
            .priority = step.queue.priority,
            .permissionToken = permissionToken ? *permissionToken : std::string(),
            .learnedRunTime = {} });
    if (step.learnedRunTime)
        decisions.placements.back().learnedRunTime = timeAtSpeed(*step.learnedRunTime, worker.tracked->speed);
}

// A short call takes about as long as the commit of the acceptance, so the two overlap.
void Planner::requestPermissionsEarly(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    if (!step.queue.permission.isNeeded || step.spec->isGang || !hasShortPermissionCall(step))
        return;
    requestPermissionsForTasks(step, decisions, now);
    reserveNamedWorkers(step, step.tasks.size());
}

void Planner::planTasks(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    const size_t before = decisions.placements.size();
    const auto withRoom = candidates(step, now);
    const bool waits = isWorthWaiting(step, withRoom, now);
    if (!waits)
        placeTasks(step, withRoom, decisions, now);
    const size_t left = step.tasks.size() - (decisions.placements.size() - before);
    if (!left)
        return;
    if (step.queue.permission.isNeeded && !waits) {
        requestPermissionsForTasks(step, decisions, now);
        reserveNamedWorkers(step, left);
    }
    const bool isUrgent = now < step.latestStart() && now > step.latestStart() - urgentWindow;
    if (isUrgent || waits)
        reserveForUrgentTasks(step, left, now);
}

void Planner::reserveForUrgentTasks(const ReadyStep& step, size_t tasks, TimePoint now)
{
    auto workers = allowedWorkers(step);
    if (step.queue.permission.isNeeded)
        std::erase_if(workers, [&](const WorkerCapacity* worker) { return !hasValidToken(*worker, now); });
    reserve(findReservation(step, workers, tasks));
}

std::vector<Planner::WorkerCapacity*> Planner::allowedWorkers(const ReadyStep& step)
{
    std::vector<WorkerCapacity*> allowed;
    const auto consider = [&](WorkerCapacity& worker) {
        if (isEligible(worker, step))
            allowed.push_back(&worker);
    };
    if (!step.queue.permission.isNeeded) {
        for (auto& worker : m_workers)
            consider(worker);
        return allowed;
    }
    for (const uint32_t number : m_stepPermissions->allowedWorkers()) {
        if (WorkerCapacity* worker = findWorker(number))
            consider(*worker);
    }
    std::sort(allowed.begin(), allowed.end());
    return allowed;
}

std::vector<Planner::WorkerCapacity*> Planner::unknownWorkers(const ReadyStep& step)
{
    std::vector<WorkerCapacity*> unknown;
    for (auto& worker : m_workers) {
        if (!m_stepPermissions->isKnown(worker.number) && isEligible(worker, step))
            unknown.push_back(&worker);
    }
    return unknown;
}

bool Planner::hasShortPermissionCall(const ReadyStep& step)
{
    const auto& cost = step.queue.permission;
    const Duration usual = cost.perCall + cost.perWorker * static_cast<int64_t>(minNamedWorkersPerStep);
    return static_cast<double>(usual.count()) <= shortCallFraction * static_cast<double>(step.runTime().count());
}

void Planner::reserveNamedWorkers(const ReadyStep& step, size_t tasks)
{
    if (!hasShortPermissionCall(step))
        return;
    // Only a fraction of the named workers will be granted.
    const double grantedFraction = m_permissionTracker.grantedFraction(step.queue.name);
    double left = static_cast<double>(tasks) / std::max(grantedFraction, 0.1);
    for (const uint32_t number : m_stepPermissions->pendingWorkers()) {
        WorkerCapacity* worker = findWorker(number);
        if (left <= 0)
            return;
        if (!worker || worker->isReserved)
            continue;
        for (uint32_t remaining = fittingTasks(*worker, step, static_cast<uint32_t>(std::ceil(left))); remaining;
             --remaining, --left)
            worker->free -= m_stepSize;
    }
}

void Planner::placeTasks(
    const ReadyStep& step, const std::vector<WorkerCapacity*>& workers, Decisions& decisions, TimePoint now)
{
    size_t task = 0;
    for (auto* worker : workers) {
        for (uint32_t remaining = fittingTasks(*worker, step, static_cast<uint32_t>(step.tasks.size() - task));
             remaining; --remaining)
            allocate(*worker, step, task++, decisions, now);
        if (task == step.tasks.size())
            return;
    }
}

void Planner::requestPermissionsForTasks(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    if (!m_permissionTracker.mayRequest(step.ref, now))
        return;
    struct Option {
        WorkerCapacity* worker;
        uint32_t capacity;
        bool isAllowed;
    };
    std::vector<Option> options;
    const auto demand = static_cast<uint32_t>(step.tasks.size());
    for (auto& worker : m_workers) {
        // Checks capacity first, because most workers are full under heavy load.
        if (!worker.isReserved && fits(worker, step) && isEligible(worker, step) && !hasValidToken(worker, now))
            options.push_back({ &worker, fittingTasks(worker, step, demand), isAllowed(worker) });
    }
    // Without any free capacity, tokens would expire before they are used.
    if (options.empty())
        return;
    // Allowed workers first, then those of the preferred speed, then the fullest ones: large tasks and gangs need the
    // capacity that is left on the others.
    std::sort(options.begin(), options.end(), [&](const Option& a, const Option& b) {
        if (a.isAllowed != b.isAllowed)
            return a.isAllowed;
        return isPreferred(*a.worker, *b.worker);
    });
    const double grantedFraction = m_permissionTracker.grantedFraction(step.queue.name);
    double expected = 0;
    std::vector<WorkerCapacity*> named;
    for (const auto& option : options) {
        // Fast workers in place of some full ones, of which the call names more: with few fast ones, one urgent step in
        // eight is granted none.
        const bool isNamedInSurplus = m_haveSpeedsDiffering && m_stepSpeed == SpeedPreference::Fast
            && named.size() < minNamedWorkersPerStep / 2
            && option.worker->speedClass >= options.front().worker->speedClass;
        if (expected >= demand * taskSurplusFactor && !isNamedInSurplus)
            break;
        expected += option.capacity * (option.isAllowed ? 1 : grantedFraction);
        named.push_back(option.worker);
    }
    nameFullWorkers(step, named, now);
    requestPermissions(step, named, decisions);
}

// Allowed workers come first.
void Planner::nameFullWorkers(const ReadyStep& step, std::vector<WorkerCapacity*>& named, TimePoint now)
{
    if (named.size() >= minNamedWorkersPerStep)
        return;
    struct Option {
        WorkerCapacity* worker;
        bool isAllowed;
        TimePoint at; // See endOfSlot().
    };
    std::vector<Option> options;
    std::vector<TimePoint> slots;
    for (auto& worker : m_workers) {
        if (worker.isReserved || fits(worker, step) || !isEligible(worker, step) || hasValidToken(worker, now))
            continue;
        slots.clear();
        forecastOf(worker).findSlots(worker.free, m_stepSize, 1, m_now, slots);
        options.push_back(
            { &worker, isAllowed(worker), endOfSlot(step, worker, slots.empty() ? TimePoint::max() : slots.front()) });
    }
    const size_t count = std::min(options.size(), minNamedWorkersPerStep - named.size());
    std::partial_sort(options.begin(), options.begin() + static_cast<std::ptrdiff_t>(count), options.end(),
        [](const Option& a, const Option& b) {
            if (a.isAllowed != b.isAllowed)
                return a.isAllowed;
            return a.at != b.at ? a.at < b.at : a.worker < b.worker;
        });
    for (size_t i = 0; i < count; ++i)
        named.push_back(options[i].worker);
}

void Planner::requestPermissions(const ReadyStep& step, const std::vector<WorkerCapacity*>& named, Decisions& decisions)
{
    if (named.empty())
        return;
    const auto& cost = step.queue.permission;
    size_t maxWorkers = maxWorkersPerRequest;
    if (cost.perWorker > Duration(0))
        maxWorkers = std::clamp(static_cast<size_t>(maxNamingTimeFactor * (cost.perCall / cost.perWorker)),
            minWorkersPerPartialRequest, maxWorkersPerRequest);
    const size_t calls = (named.size() + maxWorkers - 1) / maxWorkers;
    for (size_t call = 0; call < calls; ++call) {
        std::vector<const TrackedWorker*> workers;
        for (size_t i = call; i < named.size(); i += calls)
            workers.push_back(named[i]->tracked);
        decisions.permissionRequests.push_back(m_permissionTracker.addRequest(step.ref, step.queue, workers));
    }
    m_stepPermissions = &m_permissionTracker.permissionsOf(step.ref);
}

CapacityForecast& Planner::forecastOf(WorkerCapacity& worker)
{
    const TrackedWorker& tracked = *worker.tracked;
    if (tracked.number >= m_forecasts.size())
        m_forecasts.resize(tracked.number + 1);
    CachedForecast& cached = m_forecasts[tracked.number];
    if (std::exchange(cached.pass, m_pass) == m_pass)
        return cached.forecast;
    const bool isCurrent = cached.used == tracked.used && m_now - cached.builtAt <= maxForecastAge
        && cached.forecast.isCurrent(m_now) && cached.incarnation == tracked.incarnation();
    if (isCurrent) {
        cached.forecast.reset();
        return cached.forecast;
    }
    cached.forecast.build(m_runController.runsOn(tracked.incarnation()), m_now);
    cached.incarnation = tracked.incarnation();
    cached.used = tracked.used;
    cached.builtAt = m_now;
    return cached.forecast;
}

Planner::Reservation Planner::findReservation(
    const ReadyStep& step, const std::vector<WorkerCapacity*>& workers, size_t tasks)
{
    struct Slot {
        TimePoint at;
        TimePoint endsAt; // See endOfSlot().
        WorkerCapacity* worker;
    };
    std::vector<Slot> slots;
    std::vector<TimePoint> times;
    for (auto* worker : workers) {
        if (worker->isReserved)
            continue;
        times.clear();
        const uint32_t mostTasks = std::min(fittingTasksWhenEmpty(*worker, step), static_cast<uint32_t>(tasks));
        forecastOf(*worker).findSlots(worker->free, m_stepSize, mostTasks, m_now, times);
        for (const TimePoint at : times)
            slots.push_back({ at, step.spec->isGang ? at : endOfSlot(step, *worker, at), worker });
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(tasks, slots.size()));
    const auto isSooner
        = [](const Slot& a, const Slot& b) { return a.endsAt != b.endsAt ? a.endsAt < b.endsAt : a.worker < b.worker; };
    std::partial_sort(slots.begin(), slots.begin() + count, slots.end(), isSooner);
    slots.resize(static_cast<size_t>(count));
    Reservation reservation { .startsAt = slots.empty() ? TimePoint::max() : slots.front().at, .workers = {} };
    for (const auto& slot : slots) {
        reservation.startsAt = std::max(reservation.startsAt, slot.at);
        reservation.workers.push_back(slot.worker);
    }
    return reservation;
}

void Planner::reserve(const Reservation& reservation)
{
    for (auto* worker : reservation.workers) {
        worker->reserved += forecastOf(*worker).claim(worker->free, m_stepSize, reservation.startsAt);
        worker->reservedFrom = std::min(worker->reservedFrom, reservation.startsAt);
    }
}

} // namespace hickoryknot::workflow
