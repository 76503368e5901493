// How the learned speeds of workers decide between those with room.

#include <algorithm>

#include "workflow/Planner.h"

namespace hickoryknot::workflow {

namespace {

/// A task waits for a fast worker only if it is then expected to end this much earlier: expected ends are rough, and
/// the worker's end has to be committed first.
constexpr Duration minGainOfWaiting = 100ms;

} // namespace

// Fast workers are those above the usual speed; without any, those of the usual one.
void Planner::compareSpeeds()
{
    m_speeds = {};
    m_haveSpeedsDiffering = false;
    int fastest = 0;
    for (const auto& worker : m_workers) {
        m_speeds.slowestSpeed = std::min(m_speeds.slowestSpeed, worker.tracked->speed);
        m_haveSpeedsDiffering = m_haveSpeedsDiffering || worker.speedClass != m_workers.front().speedClass;
        fastest = std::max(fastest, worker.speedClass);
    }
    double capacity = 0;
    double free = 0;
    for (const auto& worker : m_workers) {
        if (worker.speedClass < std::min(fastest, 1))
            continue;
        capacity += static_cast<double>(worker.tracked->profile.capacity.millicores.count());
        free += static_cast<double>(std::max<int64_t>(0, worker.free.millicores.count()));
    }
    m_speeds.freeOnFastWorkers = capacity > 0 ? free / capacity : 0;
}

bool Planner::isPreferred(const WorkerCapacity& a, const WorkerCapacity& b) const
{
    const int rankA = speedRank(m_stepSpeed, a.speedClass);
    const int rankB = speedRank(m_stepSpeed, b.speedClass);
    if (rankA != rankB)
        return rankA < rankB;
    if (a.free.millicores != b.free.millicores)
        return a.free.millicores < b.free.millicores;
    return &a < &b;
}

TimePoint Planner::endOfSlot(const ReadyStep& step, const WorkerCapacity& worker, TimePoint at) const
{
    const bool isOpen = at == TimePoint::max() || m_stepSpeed != SpeedPreference::Fast || !m_haveSpeedsDiffering;
    return isOpen ? at : at + timeAtSpeed(step.runTime(), worker.tracked->speed);
}

// Tasks that are late on the slow workers with room wait for fast ones whose runs end soon, if they then end earlier.
bool Planner::isWorthWaiting(const ReadyStep& step, const std::vector<WorkerCapacity*>& withRoom, TimePoint now)
{
    if (!m_haveSpeedsDiffering || withRoom.empty() || step.isSuspect || m_stepSpeed != SpeedPreference::Fast)
        return false;
    // The first one is the fastest.
    const double speed = withRoom.front()->tracked->speed;
    const bool isLateNow = !isInTime(step, now, speed);
    if (!isLateNow || now >= step.latestStart())
        return false;
    const TimePoint latestEnd = now + timeAtSpeed(step.runTime(), speed) - minGainOfWaiting;
    size_t inTime = 0;
    std::vector<TimePoint> slots;
    for (auto* worker : allowedWorkers(step)) {
        const bool isFaster = worker->speedClass > withRoom.front()->speedClass;
        if (!isFaster || worker->isReserved || (step.queue.permission.isNeeded && !hasValidToken(*worker, now)))
            continue;
        slots.clear();
        forecastOf(*worker).findSlots(
            worker->free, m_stepSize, static_cast<uint32_t>(step.tasks.size() - inTime), m_now, slots);
        inTime += static_cast<size_t>(std::count_if(slots.begin(), slots.end(), [&](TimePoint at) {
            return isInTime(step, at, worker->tracked->speed)
                && at + timeAtSpeed(step.runTime(), worker->tracked->speed) <= latestEnd;
        }));
        if (inTime >= step.tasks.size())
            return true;
    }
    return false;
}

// A gang ends with its slowest member, so a fast worker among slow ones is wasted.
std::vector<std::vector<Planner::WorkerCapacity*>> Planner::gangGroups(
    const ReadyStep& step, const std::vector<WorkerCapacity*>& workers, TimePoint now) const
{
    std::vector<int> classes;
    classes.reserve(workers.size());
    for (const auto* worker : workers)
        classes.push_back(worker->speedClass);
    std::sort(classes.begin(), classes.end());
    classes.erase(std::unique(classes.begin(), classes.end()), classes.end());
    if (classes.size() < 2)
        return { workers };
    std::vector<std::vector<WorkerCapacity*>> groups;
    const auto addGroup = [&](auto isMember) {
        auto& group = groups.emplace_back();
        std::copy_if(workers.begin(), workers.end(), std::back_inserter(group),
            [&](const WorkerCapacity* worker) { return isMember(*worker); });
    };
    auto ranked = classes;
    std::sort(ranked.begin(), ranked.end(),
        [&](int a, int b) { return speedRank(m_stepSpeed, a) < speedRank(m_stepSpeed, b); });
    for (const int only : ranked) {
        addGroup([&](const WorkerCapacity& worker) { return worker.speedClass == only; });
        const bool isEarlyEnough = std::all_of(groups.back().begin(), groups.back().end(),
            [&](const WorkerCapacity* worker) { return isInTime(step, now, worker->tracked->speed); });
        if (m_stepSpeed == SpeedPreference::Slow && !isEarlyEnough)
            groups.pop_back();
    }
    // Of several classes, without the slowest ones if possible.
    for (size_t slowest = classes.size() - 1; slowest-- > 0;)
        addGroup([&](const WorkerCapacity& worker) { return worker.speedClass >= classes[slowest]; });
    return groups;
}

} // namespace hickoryknot::workflow
