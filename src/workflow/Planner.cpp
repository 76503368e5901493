#include "workflow/Planner.h"

#include <algorithm>
#include <cmath>

namespace hickoryknot::workflow {

namespace {

/// Most workers that one call for permission may name.
constexpr size_t maxWorkersPerRequest = 100;
/// Workers are named for this multiple of the needed room, divided by the share that is usually allowed: one in four
/// calls would otherwise come back with too few.
constexpr double requestSurplus = 1.5;
/// Gangs that may hold room at the same time. More would leave too much of it idle.
constexpr size_t maxHeldGangs = 2;
/// Steps looked at in one plan; what is behind them in the order would hardly find room.
constexpr size_t maxStepsPerPlan = 256;

Resources plus(const WorkerView& view, const Resources& planned) { return view.used + planned; }

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
    m_slots.clear();
    m_heldGangs = 0;
    m_unclaimed = 0;
    for (auto& [life, view] : m_board.views()) {
        if (m_board.isUsable(view, now))
            m_slots.push_back({ .view = &view, .planned = {}, .plannedTasks = {} });
    }
    for (const auto& slot : m_slots)
        m_unclaimed += slot.view->free().millicores.count();
    std::sort(steps.begin(), steps.end(), [&](const auto* a, const auto* b) { return isBefore(*a, *b, now); });
    for (size_t i = 0; i < steps.size() && i < maxStepsPerPlan; ++i) {
        const ReadyStep& step = *steps[i];
        const bool needsPermits = step.queue.permission.isNeeded;
        const auto slots = candidates(step, needsPermits, now);
        if (step.spec->isGang) {
            if (placeGang(step, slots, decisions, now))
                continue;
            if (needsPermits)
                askForPermits(step, decisions, now);
            holdRoom(step);
            continue;
        }
        const size_t before = decisions.placements.size();
        placeTasks(step, slots, decisions, now);
        const bool isPlaced = decisions.placements.size() - before == step.tasks.size();
        if (!isPlaced && needsPermits)
            askForPermits(step, decisions, now);
    }
    return decisions;
}

uint32_t Planner::roomFor(const Slot& slot, const ReadyStep& step, uint32_t most) const
{
    // The view with what this plan has already given away.
    const Resources size = occupied(*step.spec);
    const Resources free = slot.view->profile.capacity - plus(*slot.view, slot.planned);
    uint32_t limit = most;
    if (step.spec->maxPerWorker) {
        const auto present = slot.view->tasksOfStep.find(step.ref);
        const auto planned = slot.plannedTasks.find(step.ref);
        const uint32_t count = (present == slot.view->tasksOfStep.end() ? 0 : present->second)
            + (planned == slot.plannedTasks.end() ? 0 : planned->second);
        limit = std::min(limit, step.spec->maxPerWorker > count ? step.spec->maxPerWorker - count : 0);
    }
    const auto fit = [&](int64_t have, int64_t need) {
        if (need > 0)
            limit = static_cast<uint32_t>(std::clamp<int64_t>(have / need, 0, limit));
    };
    fit(free.millicores.count(), size.millicores.count());
    fit(free.mebibytes.count(), size.mebibytes.count());
    fit(free.accelerators.count(), size.accelerators.count());
    return limit;
}

std::vector<Planner::Slot*> Planner::candidates(const ReadyStep& step, bool isPermitNeeded, TimePoint now)
{
    std::vector<Slot*> found;
    for (auto& slot : m_slots) {
        const bool isAllowed = !slot.isHeld && WorkerBoard::isSuitable(*slot.view, step.queue.pool, *step.spec)
            && (!isPermitNeeded || m_permits.ticket(step.ref, slot.view->life(), now));
        if (isAllowed && roomFor(slot, step, 1))
            found.push_back(&slot);
    }
    // The rack with the data first, then the fullest workers.
    const auto freeCores = [](const Slot* slot) {
        return (slot->view->free() - slot->planned).millicores.count();
    };
    std::sort(found.begin(), found.end(), [&](const Slot* a, const Slot* b) {
        const bool isNearA = !step.spec->dataRack.isEmpty() && a->view->profile.rack == step.spec->dataRack;
        const bool isNearB = !step.spec->dataRack.isEmpty() && b->view->profile.rack == step.spec->dataRack;
        if (isNearA != isNearB)
            return isNearA;
        if (freeCores(a) != freeCores(b))
            return freeCores(a) < freeCores(b);
        return a->view->life() < b->view->life();
    });
    return found;
}

void Planner::take(Slot& slot, const ReadyStep& step, size_t task, Decisions& decisions, TimePoint now)
{
    slot.planned += occupied(*step.spec);
    m_unclaimed -= occupied(*step.spec).millicores.count();
    ++slot.plannedTasks[step.ref];
    const std::string* permit = m_permits.ticket(step.ref, slot.view->life(), now);
    decisions.placements.push_back({ .run = { .task = { .step = step.ref, .index = step.tasks[task].index },
                                         .run = step.tasks[task].nextRun },
        .life = slot.view->life(),
        .spec = step.spec,
        .permit = permit ? *permit : std::string() });
}

void Planner::placeTasks(
    const ReadyStep& step, const std::vector<Slot*>& slots, Decisions& decisions, TimePoint now)
{
    size_t task = 0;
    for (auto* slot : slots) {
        for (uint32_t room = roomFor(*slot, step, static_cast<uint32_t>(step.tasks.size() - task)); room; --room)
            take(*slot, step, task++, decisions, now);
        if (task == step.tasks.size())
            return;
    }
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

void Planner::askForPermits(const ReadyStep& step, Decisions& decisions, TimePoint now)
{
    // Room that a step ahead has asked for will be gone by the time an answer comes. Without this, all gangs that wait
    // ask for the same room, and the service has no time left for those that can be placed.
    const int64_t claim = static_cast<int64_t>(step.tasks.size()) * occupied(*step.spec).millicores.count();
    if (m_permits.isAsking(step.ref))
        m_unclaimed -= claim;
    if (!m_permits.mayAsk(step.ref, now) || (step.spec->isGang && m_unclaimed < claim))
        return;
    struct Option {
        Slot* slot;
        uint32_t room;
        bool isAllowed;
        bool hasTicket;
    };
    std::vector<Option> options;
    const auto need = static_cast<uint32_t>(step.tasks.size());
    double expected = 0;
    for (auto& slot : m_slots) {
        const auto& life = slot.view->life();
        const bool isPossible = !slot.isHeld && WorkerBoard::isSuitable(*slot.view, step.queue.pool, *step.spec)
            && !m_permits.isDenied(step.ref, life.worker);
        const uint32_t room = isPossible ? roomFor(slot, step, need) : 0;
        if (!room)
            continue;
        options.push_back({ &slot, room, m_permits.isKnownAllowed(step.ref, life.worker),
            m_permits.ticket(step.ref, life, now) != nullptr });
    }
    // Workers known to be allowed first, then those with the most room.
    std::sort(options.begin(), options.end(), [](const Option& a, const Option& b) {
        if (a.isAllowed != b.isAllowed)
            return a.isAllowed;
        if (a.room != b.room)
            return a.room > b.room;
        return a.slot->view->life() < b.slot->view->life();
    });
    const double share = m_permits.grantedShare(step.queue.name);
    std::vector<WorkerLife> lives;
    for (const auto& option : options) {
        if (expected >= need * requestSurplus || lives.size() >= maxWorkersPerRequest)
            break;
        expected += option.room * (option.isAllowed ? 1 : share);
        // A gang needs all its tickets at the same time, so those that it holds are renewed with the others.
        if (!option.hasTicket || step.spec->isGang)
            lives.push_back(option.slot->view->life());
    }
    const bool isEnough = !step.spec->isGang || expected >= need;
    if (lives.empty() || !isEnough)
        return;
    m_unclaimed -= claim;
    decisions.requests.push_back(m_permits.ask(step.ref, step.queue, lives, now));
}

void Planner::holdRoom(const ReadyStep& step)
{
    if (m_heldGangs >= maxHeldGangs)
        return;
    ++m_heldGangs;
    // The workers on which most of the gang fits soonest.
    std::vector<Slot*> order;
    for (auto& slot : m_slots) {
        const bool isPossible = !slot.isHeld && WorkerBoard::isSuitable(*slot.view, step.queue.pool, *step.spec)
            && !m_permits.isDenied(step.ref, slot.view->life().worker);
        if (isPossible)
            order.push_back(&slot);
    }
    std::sort(order.begin(), order.end(), [&](const Slot* a, const Slot* b) {
        const bool isAllowedA = m_permits.isKnownAllowed(step.ref, a->view->life().worker);
        const bool isAllowedB = m_permits.isKnownAllowed(step.ref, b->view->life().worker);
        if (isAllowedA != isAllowedB)
            return isAllowedA;
        const auto freeA = (a->view->free() - a->planned).millicores;
        const auto freeB = (b->view->free() - b->planned).millicores;
        return freeA != freeB ? freeA > freeB : a->view->life() < b->view->life();
    });
    const Resources size = occupied(*step.spec);
    int64_t room = 0;
    for (auto* slot : order) {
        if (room >= static_cast<int64_t>(step.tasks.size()))
            break;
        const auto cores = std::max<int64_t>(1, size.millicores.count());
        room += std::max<int64_t>(0, slot->view->profile.capacity.millicores.count() / cores);
        slot->isHeld = true;
    }
}

} // namespace hickoryknot::workflow
