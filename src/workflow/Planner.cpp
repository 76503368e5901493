#include "workflow/Planner.h"

#include <algorithm>
#include <cmath>

#include "workflow/RunController.h"

namespace hickoryknot::workflow {

namespace {

/// Most workers that one call for permission may name.
constexpr size_t maxWorkersPerRequest = 100;
/// Workers are named for this multiple of the needed room, divided by the share that is usually allowed: one in four
/// calls would otherwise come back with too few.
constexpr double requestSurplus = 1.5;
/// Workers are named for a gang until this multiple of it is expected to fit onto the allowed ones when they are empty:
/// on the heavy days about half of them are taken by work that is not to be stopped.
constexpr double gangSurplus = 6;
/// A call is split when naming workers would take longer than this multiple of its fixed part, so that hosts serve the
/// parts side by side.
constexpr int64_t longestNaming = 1;
constexpr size_t fewestWorkersPerRequest = 20;
/// A call names at least this many workers, those without room included: room comes and goes several times while the
/// answer is on its way, and naming them adds a third to the time of the call at most. Objectives allow for one call
/// about so many workers for each step. Short calls are many and name fewer: their answers travel over links of 2
/// Mbit/s.
constexpr size_t usualWorkersPerRequest = 30;
constexpr size_t usualWorkersPerShortRequest = 12;
/// Room waits for the answer to a call that takes at most this part of a task's run time. Without that, queues whose
/// tickets last longer would take all room before those that ask for each step anew.
constexpr double shortCallShare = 0.05;
/// Gangs that may hold room at the same time: so many for each this many workers, and two at least. More would leave
/// too much room idle.
constexpr size_t fewestHeldGangs = 2;
constexpr size_t workersPerHeldGang = 10;
/// Steps looked at in one plan; what is behind them in the order would hardly find room.
constexpr size_t maxStepsPerPlan = 256;
/// Tasks of lower priority make room for a gang that must start within this time to be in time: a stop, a call for
/// permission and a start take up to two seconds. Earlier, ends of runs may make room by themselves.
constexpr Duration preemptWithin = 3s;
/// How long a step keeps off workers on which it failed, if no other has room: about one run time.
constexpr Duration avoidFor = 3s;
/// A run that has come this far is left to end by itself: a stop may take almost as long.
constexpr uint32_t nearEndPercent = 75;

} // namespace

bool Planner::isBefore(const ReadyStep& a, const ReadyStep& b, TimePoint now)
{
    // What cannot end in time any more earns little and would only delay the rest.
    const auto lateness = [&](const ReadyStep& step) {
        return now > step.uselessAt - step.chain ? 2 : now > step.latestStart() ? 1 : 0;
    };
    const int lateA = lateness(a);
    const int lateB = lateness(b);
    if (lateA != lateB)
        return lateA < lateB;
    if (a.queue.priority != b.queue.priority)
        return a.queue.priority < b.queue.priority;
    if (a.latestStart() != b.latestStart())
        return a.latestStart() < b.latestStart();
    return a.ref < b.ref;
}

Planner::Decisions Planner::plan(std::vector<ReadyStep*>& steps, TimePoint now)
{
    Decisions decisions;
    m_now = now;
    m_slots.clear();
    m_pools.clear();
    m_heldGangs = 0;
    for (auto& [life, view] : m_board.workers()) {
        if (!m_board.isUsable(view, now))
            continue;
        m_slots.push_back(
            { .view = &view, .free = view.free(), .pool = poolIndex(view.profile.pool), .plannedTasks = {} });
    }
    m_slotOfWorker.clear();
    for (auto& slot : m_slots) {
        if (slot.view->number >= m_slotOfWorker.size())
            m_slotOfWorker.resize(slot.view->number + 1);
        m_slotOfWorker[slot.view->number] = &slot;
    }
    std::sort(steps.begin(), steps.end(), [&](const auto* a, const auto* b) { return isBefore(*a, *b, now); });
    for (size_t i = 0; i < steps.size() && i < maxStepsPerPlan; ++i) {
        m_stepPermits = &m_permits.of(steps[i]->ref);
        m_stepSize = occupied(*steps[i]->spec);
        m_stepPool = poolIndex(steps[i]->queue.pool);
        if (steps[i]->spec->isGang)
            planGang(*steps[i], decisions, now);
        else
            planTasks(*steps[i], decisions, now);
    }
    return decisions;
}

size_t Planner::poolIndex(const PoolName& pool)
{
    const auto found
        = std::find_if(m_pools.begin(), m_pools.end(), [&](const PoolName* known) { return *known == pool; });
    const auto index = static_cast<size_t>(found - m_pools.begin());
    if (found == m_pools.end())
        m_pools.push_back(&pool);
    return index;
}

bool Planner::hasRoom(const Slot& slot, const ReadyStep& step) const
{
    // What a task does not ask for may be overdrawn.
    const auto fits = [](const auto& have, const auto& need) { return need.count() <= 0 || need <= have; };
    return fits(slot.free.millicores, m_stepSize.millicores) && fits(slot.free.mebibytes, m_stepSize.mebibytes)
        && fits(slot.free.accelerators, m_stepSize.accelerators)
        && (!step.spec->maxPerWorker || roomFor(slot, step, 1));
}

uint32_t Planner::roomIn(const Slot& slot, const ReadyStep& step, const Resources& free, uint32_t most) const
{
    uint32_t limit = most;
    if (step.spec->maxPerWorker) {
        const auto present = slot.view->tasksOfStep.find(step.ref);
        const auto planned = slot.plannedTasks.find(step.ref);
        const uint32_t count = (present == slot.view->tasksOfStep.end() ? 0 : present->second)
            + (planned == slot.plannedTasks.end() ? 0 : planned->second);
        limit = std::min(limit, step.spec->maxPerWorker > count ? step.spec->maxPerWorker - count : 0);
    }
    const Resources& size = m_stepSize;
    const auto fit = [&](int64_t have, int64_t need) {
        if (need > 0)
            limit = static_cast<uint32_t>(std::clamp<int64_t>(have / need, 0, limit));
    };
    fit(free.millicores.count(), size.millicores.count());
    fit(free.mebibytes.count(), size.mebibytes.count());
    fit(free.accelerators.count(), size.accelerators.count());
    return limit;
}

bool Planner::isPossible(const Slot& slot, const ReadyStep& step) const
{
    if (slot.pool != m_stepPool || m_stepPermits->isDenied(slot.view->number)
        || (!step.spec->requiredLabel.empty() && !slot.view->profile.hasLabel(step.spec->requiredLabel)))
        return false;
    return step.avoided.empty() || m_now - step.readySince >= avoidFor
        || !step.avoided.contains(slot.view->life().worker);
}

std::vector<Planner::Slot*> Planner::candidates(const ReadyStep& step, TimePoint now)
{
    std::vector<Slot*> found;
    const auto consider = [&](Slot& slot) {
        // Most workers are full on the heavy days, so room is looked at first.
        if (!slot.isHeld && hasRoom(slot, step) && isPossible(slot, step)
            && (!step.queue.permission.isNeeded || hasTicket(slot, now)))
            found.push_back(&slot);
    };
    if (!step.queue.permission.isNeeded) {
        for (auto& slot : m_slots)
            consider(slot);
    } else {
        for (const auto& [number, ticket] : m_stepPermits->tickets()) {
            if (Slot* slot = slotOf(number))
                consider(*slot);
        }
    }
    // The rack with the data first, then the fullest workers.
    std::sort(found.begin(), found.end(), [&](const Slot* a, const Slot* b) {
        const bool isNearA = !step.spec->dataRack.isEmpty() && a->view->profile.rack == step.spec->dataRack;
        const bool isNearB = !step.spec->dataRack.isEmpty() && b->view->profile.rack == step.spec->dataRack;
        if (isNearA != isNearB)
            return isNearA;
        if (a->free.millicores != b->free.millicores)
            return a->free.millicores < b->free.millicores;
        return a < b;
    });
    return found;
}

void Planner::take(Slot& slot, const ReadyStep& step, size_t task, Decisions& decisions, TimePoint now)
{
    slot.free -= m_stepSize;
    ++slot.plannedTasks[step.ref];
    const std::string* permit = m_permits.ticket(*m_stepPermits, *slot.view, now);
    decisions.placements.push_back(
        { .run = { .task = { .step = step.ref, .index = step.tasks[task].index }, .run = step.tasks[task].nextRun },
            .life = slot.view->life(),
            .spec = step.spec,
            .priority = step.queue.priority,
            .permit = permit ? *permit : std::string() });
}

void Planner::planTasks(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    const size_t before = decisions.placements.size();
    placeTasks(step, candidates(step, now), decisions, now);
    const size_t left = step.tasks.size() - (decisions.placements.size() - before);
    if (!left || !step.queue.permission.isNeeded)
        return;
    askForTasks(step, decisions, now);
    reserveNamed(step, left);
}

bool Planner::hasShortCall(const ReadyStep& step)
{
    const auto& cost = step.queue.permission;
    const Duration usual = cost.perCall + cost.perWorker * static_cast<int64_t>(usualWorkersPerRequest);
    return static_cast<double>(usual.count())
        <= shortCallShare * static_cast<double>(step.spec->estimatedRunTime.count());
}

size_t Planner::fewestNamed(const ReadyStep& step)
{
    return hasShortCall(step) ? usualWorkersPerShortRequest : usualWorkersPerRequest;
}

void Planner::reserveNamed(const ReadyStep& step, size_t tasks)
{
    if (!hasShortCall(step))
        return;
    // Only a part of the named workers will be allowed.
    const double share = m_permits.grantedShare(step.queue.name);
    double left = static_cast<double>(tasks) / std::max(share, 0.1);
    for (const uint32_t number : m_stepPermits->asked()) {
        Slot* slot = slotOf(number);
        if (left <= 0)
            return;
        if (!slot || slot->isHeld)
            continue;
        for (uint32_t room = roomFor(*slot, step, static_cast<uint32_t>(std::ceil(left))); room; --room, --left)
            slot->free -= m_stepSize;
    }
}

void Planner::placeTasks(const ReadyStep& step, const std::vector<Slot*>& slots, Decisions& decisions, TimePoint now)
{
    size_t task = 0;
    for (auto* slot : slots) {
        for (uint32_t room = roomFor(*slot, step, static_cast<uint32_t>(step.tasks.size() - task)); room; --room)
            take(*slot, step, task++, decisions, now);
        if (task == step.tasks.size())
            return;
    }
}

void Planner::askForTasks(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    if (!m_permits.mayAsk(step.ref, now))
        return;
    struct Option {
        Slot* slot;
        uint32_t room;
        bool isAllowed;
    };
    std::vector<Option> options;
    std::vector<Option> full;
    const auto need = static_cast<uint32_t>(step.tasks.size());
    for (auto& slot : m_slots) {
        if (!isPossible(slot, step) || hasTicket(slot, now))
            continue;
        const uint32_t room = slot.isHeld || !hasRoom(slot, step) ? 0 : roomFor(slot, step, need);
        (room ? options : full).push_back({ &slot, room, isAllowed(slot) });
    }
    // While there is no room at all, the tickets would lapse before they are used.
    if (options.empty())
        return;
    // Workers known to be allowed first, then the fullest: large tasks and gangs need what is left free on the others.
    std::sort(options.begin(), options.end(), [](const Option& a, const Option& b) {
        if (a.isAllowed != b.isAllowed)
            return a.isAllowed;
        if (a.slot->free.millicores != b.slot->free.millicores)
            return a.slot->free.millicores < b.slot->free.millicores;
        return a.slot < b.slot;
    });
    const double share = m_permits.grantedShare(step.queue.name);
    double expected = 0;
    std::vector<Slot*> named;
    for (const auto& option : options) {
        if (expected >= need * requestSurplus)
            break;
        expected += option.room * (option.isAllowed ? 1 : share);
        named.push_back(option.slot);
    }
    // The emptiest of the full ones will have room first.
    std::sort(full.begin(), full.end(), [](const Option& a, const Option& b) {
        if (a.isAllowed != b.isAllowed)
            return a.isAllowed;
        if (a.slot->free.millicores != b.slot->free.millicores)
            return a.slot->free.millicores > b.slot->free.millicores;
        return a.slot < b.slot;
    });
    for (size_t i = 0; i < full.size() && named.size() < fewestNamed(step); ++i)
        named.push_back(full[i].slot);
    ask(step, named, decisions);
}

void Planner::ask(const ReadyStep& step, const std::vector<Slot*>& named, Decisions& decisions)
{
    if (named.empty())
        return;
    const auto& cost = step.queue.permission;
    size_t most = maxWorkersPerRequest;
    if (cost.perWorker > Duration(0))
        most = std::clamp(static_cast<size_t>(longestNaming * (cost.perCall / cost.perWorker)), fewestWorkersPerRequest,
            maxWorkersPerRequest);
    const size_t calls = (named.size() + most - 1) / most;
    for (size_t call = 0; call < calls; ++call) {
        std::vector<const WorkerView*> workers;
        for (size_t i = call; i < named.size(); i += calls)
            workers.push_back(named[i]->view);
        decisions.requests.push_back(m_permits.ask(step.ref, step.queue, workers));
    }
    m_stepPermits = &m_permits.of(step.ref);
}

// Which workers are allowed never changes, so what is learnt serves every later decision about the step.
void Planner::askForGang(const ReadyStep& step, std::vector<Slot*> unknown, double expected, Decisions& decisions)
{
    std::sort(unknown.begin(), unknown.end(), [](const Slot* a, const Slot* b) {
        if (a->free.millicores != b->free.millicores)
            return a->free.millicores > b->free.millicores;
        return a < b;
    });
    const double share = m_permits.grantedShare(step.queue.name);
    const double wanted = gangSurplus * static_cast<double>(step.tasks.size());
    std::vector<Slot*> named;
    for (auto* slot : unknown) {
        if (expected >= wanted && named.size() >= fewestNamed(step))
            break;
        const uint32_t room = roomWhenEmpty(*slot, step);
        expected += share * room;
        if (room)
            named.push_back(slot);
    }
    ask(step, named, decisions);
}

void Planner::planGang(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    if (placeGang(step, candidates(step, now), decisions, now))
        return;
    prepareGang(step, decisions, now);
    if (step.queue.permission.isNeeded)
        reserveNamed(step, step.tasks.size());
}

void Planner::prepareGang(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    const auto need = static_cast<uint32_t>(step.tasks.size());
    const bool needsPermits = step.queue.permission.isNeeded;
    std::vector<Slot*> unknown;
    std::vector<Slot*> allowed;
    std::vector<Slot*> roomy;
    double roomOfAllowed = 0; // When they are empty.
    uint64_t freeRoom = 0;
    for (auto& slot : m_slots) {
        if (!isPossible(slot, step))
            continue;
        if (needsPermits && !isAllowed(slot)) {
            unknown.push_back(&slot);
            continue;
        }
        allowed.push_back(&slot);
        roomOfAllowed += roomWhenEmpty(slot, step);
        if (!slot.isHeld && hasRoom(slot, step)) {
            roomy.push_back(&slot);
            freeRoom += roomFor(slot, step, need);
        }
    }
    const bool mayAsk = needsPermits && m_permits.mayAsk(step.ref, now);
    if (needsPermits && !m_stepPermits->hasAnswers()) {
        if (mayAsk)
            askForGang(step, std::move(unknown), 0, decisions);
        return;
    }
    if (freeRoom >= need) {
        // Workers with permissions first, then those with the most room.
        std::sort(roomy.begin(), roomy.end(), [&](const Slot* a, const Slot* b) {
            if (hasTicket(*a, now) != hasTicket(*b, now))
                return hasTicket(*a, now);
            const uint32_t roomA = roomFor(*a, step, need);
            const uint32_t roomB = roomFor(*b, step, need);
            return roomA != roomB ? roomA > roomB : a < b;
        });
        std::vector<Slot*> used;
        uint32_t room = 0;
        for (size_t i = 0; i < roomy.size() && room < need; ++i) {
            room += roomFor(*roomy[i], step, need - room);
            used.push_back(roomy[i]);
        }
        // There is room, but some of its permissions have expired. Others must not take it before the answer comes.
        for (auto* slot : used)
            slot->isHeld = true;
        // The room may move meanwhile, and a call takes far longer than naming one more worker.
        if (mayAsk)
            ask(step, allowed, decisions);
        return;
    }
    // Too few were asked about, or others have come.
    if (mayAsk && roomOfAllowed < gangSurplus * need)
        askForGang(step, std::move(unknown), roomOfAllowed, decisions);
    const bool isUrgent = now > step.latestStart() - preemptWithin && now < step.latestStart();
    if (!isUrgent || !clearRoom(step, decisions, now))
        holdRoom(step);
}

bool Planner::placeGang(const ReadyStep& step, const std::vector<Slot*>& slots, Decisions& decisions, TimePoint now)
{
    const auto count = static_cast<uint32_t>(step.tasks.size());
    const auto fill = [&](const std::vector<Slot*>& among) {
        uint32_t room = 0;
        for (const auto* slot : among)
            room += roomFor(*slot, step, count - std::min(room, count));
        if (room < count)
            return false;
        size_t task = 0;
        for (auto* slot : among) {
            const auto left = static_cast<uint32_t>(count - task);
            for (uint32_t fits = roomFor(*slot, step, left); fits; --fits)
                take(*slot, step, task++, decisions, now);
        }
        return true;
    };
    if (step.spec->prefersOneRack) {
        std::map<RackId, std::vector<Slot*>> racks;
        for (auto* slot : slots)
            racks[slot->view->profile.rack].push_back(slot);
        for (const auto& [rack, among] : racks) {
            if (fill(among))
                return true;
        }
    }
    return fill(slots);
}

bool Planner::isPreemptible(const RunView& run, const ReadyStep& step)
{
    const bool isEnding = run.phase == RunView::Phase::Stopping || run.phase == RunView::Phase::Stopped
        || run.phase == RunView::Phase::Ended;
    const bool mayGoOnLater = run.spec.isCheckpointing && !run.spec.isGang && !run.spec.isLongRunning;
    return isEnding
        || (run.phase == RunView::Phase::Confirmed && run.priority > step.queue.priority && mayGoOnLater
            && run.percent < nearEndPercent);
}

Planner::Clearing Planner::clearing(Slot& slot, const ReadyStep& step) const
{
    Clearing result { .slot = &slot, .victims = {} };
    std::vector<const RunView*> runs;
    for (const auto* run : m_desk.runsOn(slot.view->life())) {
        if (isPreemptible(*run, step))
            runs.push_back(run);
    }
    // Runs that are ending anyway cost nothing; then the large ones, so that few have to go.
    const auto isEnding = [](const RunView* run) { return run->phase != RunView::Phase::Confirmed; };
    std::sort(runs.begin(), runs.end(), [&](const RunView* a, const RunView* b) {
        if (isEnding(a) != isEnding(b))
            return isEnding(a);
        if (a->spec.perTask.millicores != b->spec.perTask.millicores)
            return a->spec.perTask.millicores > b->spec.perTask.millicores;
        return a->run < b->run;
    });
    const auto need = static_cast<uint32_t>(step.tasks.size());
    Resources free = slot.free;
    result.room = roomIn(slot, step, free, need);
    double lost = 0;
    for (const auto* run : runs) {
        free += occupied(run->spec);
        lost += isEnding(run) ? 0 : static_cast<double>(occupied(run->spec).millicores.count());
        result.victims.push_back(run);
        const uint32_t room = roomIn(slot, step, free, need);
        if (room == result.room)
            continue;
        result.room = room;
        result.cost = lost / room;
    }
    return result;
}

bool Planner::clearRoom(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    const auto need = static_cast<uint32_t>(step.tasks.size());
    const bool needsPermits = step.queue.permission.isNeeded;
    std::vector<Clearing> options;
    uint32_t room = 0;
    for (auto& slot : m_slots) {
        if (slot.isHeld || !isPossible(slot, step) || (needsPermits && !isAllowed(slot)))
            continue;
        auto option = clearing(slot, step);
        room += option.room;
        if (option.room)
            options.push_back(std::move(option));
    }
    if (room < need)
        return false;
    std::sort(options.begin(), options.end(), [](const Clearing& a, const Clearing& b) {
        if (a.cost != b.cost)
            return a.cost < b.cost;
        return a.slot < b.slot;
    });
    std::vector<Slot*> used;
    uint32_t found = 0;
    for (const auto& option : options) {
        if (found >= need)
            break;
        const uint32_t wanted = std::min(option.room, need - found);
        found += wanted;
        used.push_back(option.slot);
        option.slot->isHeld = true;
        Resources free = option.slot->free;
        for (const auto* run : option.victims) {
            if (roomIn(*option.slot, step, free, wanted) >= wanted)
                break;
            free += occupied(run->spec);
            if (run->phase == RunView::Phase::Confirmed)
                decisions.preemptions.push_back(run->run);
        }
    }
    // The permissions are asked for while the stops are under way.
    const bool areAllValid = !needsPermits
        || std::all_of(used.begin(), used.end(), [&](const Slot* slot) { return hasTicket(*slot, now); });
    if (!areAllValid && m_permits.mayAsk(step.ref, now)) {
        std::vector<Slot*> allowed;
        allowed.reserve(options.size());
        for (const auto& option : options)
            allowed.push_back(option.slot);
        ask(step, allowed, decisions);
    }
    return true;
}

void Planner::holdRoom(const ReadyStep& step)
{
    if (m_heldGangs >= std::max(fewestHeldGangs, m_slots.size() / workersPerHeldGang))
        return;
    ++m_heldGangs;
    // The workers on which most of the gang fits soonest. Few are taken out of many, so a heap is enough.
    struct Option {
        Slot* slot;
        bool isAllowed;
        Millicores free;
    };
    std::vector<Option> options;
    options.reserve(m_slots.size());
    for (auto& slot : m_slots) {
        if (!slot.isHeld && isPossible(slot, step))
            options.push_back({ &slot, isAllowed(slot), slot.free.millicores });
    }
    const auto comesLater = [](const Option& a, const Option& b) {
        if (a.isAllowed != b.isAllowed)
            return b.isAllowed;
        return a.free != b.free ? a.free < b.free : a.slot > b.slot;
    };
    std::make_heap(options.begin(), options.end(), comesLater);
    const auto size = std::max<int64_t>(1, m_stepSize.millicores.count());
    for (int64_t room = 0; !options.empty() && room < static_cast<int64_t>(step.tasks.size());) {
        std::pop_heap(options.begin(), options.end(), comesLater);
        Slot* slot = options.back().slot;
        options.pop_back();
        room += std::max<int64_t>(0, slot->view->profile.capacity.millicores.count() / size);
        slot->isHeld = true;
    }
}

} // namespace hickoryknot::workflow
