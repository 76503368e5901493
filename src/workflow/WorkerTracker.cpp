#include "workflow/WorkerTracker.h"

#include <algorithm>
#include <limits>

namespace hickoryknot::workflow {

namespace {

/// Runs that fail in a row before a worker gets only single probes. One failure is more often the task's own fault.
constexpr uint32_t failuresBeforeProbation = 2;
/// First and longest time without new work; doubled with each further failure.
constexpr Duration firstProbation = 2s;
constexpr Duration longestProbation = 16s;

} // namespace

Resources occupied(const StepSpec& step)
{
    Resources size = step.perTask;
    if (step.usesSpareCapacity)
        size.millicores = Millicores(0);
    return size;
}

void WorkerTracker::clear()
{
    m_views.clear();
    m_latestOfWorker.clear();
    m_latestAtAddress.clear();
    m_numbers.clear();
}

WorkerView& WorkerTracker::viewOf(const WorkerIncarnation& life)
{
    const auto [found, isNew] = m_views.try_emplace(life);
    WorkerView& view = found->second;
    if (isNew) {
        view.profile.incarnation = life;
        view.number = m_numbers.try_emplace(life.worker, static_cast<uint32_t>(m_numbers.size())).first->second;
        view.isSucceeded = isSucceeded(life);
    }
    return view;
}

void WorkerTracker::noteBirth(const WorkerIncarnation& life)
{
    bool isLater = false;
    const auto raise = [&](auto& latest, const auto& key) {
        const auto [found, isFirst] = latest.try_emplace(key, life.startTimeMs);
        isLater = isLater || isFirst || found->second < life.startTimeMs;
        found->second = std::max(found->second, life.startTimeMs);
    };
    raise(m_latestOfWorker, life.worker);
    raise(m_latestAtAddress, life.address);
    if (!isLater)
        return;
    for (auto& [other, view] : m_views) {
        const bool isSamePlace = other.worker == life.worker || other.address == life.address;
        view.isSucceeded = view.isSucceeded || (isSamePlace && other.startTimeMs < life.startTimeMs);
    }
}

WorkerTracker::News WorkerTracker::reported(const WorkerReport& report, TimePoint now)
{
    const WorkerIncarnation& life = report.profile.incarnation;
    if (isSucceeded(life))
        return News::Stale;
    WorkerView& view = viewOf(life);
    const bool isNew = !view.isProfileKnown;
    if (!isNew && report.sequence <= view.sequence)
        return News::Stale;
    const bool isChanged = isNew || !(view.profile == report.profile);
    view.profile = report.profile;
    view.isProfileKnown = true;
    noteBirth(life);
    view.sequence = report.sequence;
    view.heardAt = now;
    if (report.clock)
        view.clock.observed(*report.clock, now);
    return isChanged ? News::Changed : News::Known;
}

WorkerView& WorkerTracker::recorded(const WorkerProfile& profile, TimePoint now)
{
    WorkerView& view = viewOf(profile.incarnation);
    view.profile = profile;
    view.isProfileKnown = true;
    noteBirth(profile.incarnation);
    // Until it answers or reports, it counts as heard now: most workers of the record are still there.
    view.heardAt = now;
    return view;
}

WorkerView& WorkerTracker::fromRun(const WorkerIncarnation& life, TimePoint leaseEnd)
{
    WorkerView& view = viewOf(life);
    view.leaseEnd = std::max(view.leaseEnd, leaseEnd);
    return view;
}

void WorkerTracker::succeeded(const WorkerIncarnation& life, int64_t bornMs, TimePoint now)
{
    if (bornMs <= life.startTimeMs)
        return;
    const WorkerIncarnation next { .worker = life.worker, .startTimeMs = bornMs, .address = life.address };
    viewOf(next).heardAt = now;
    noteBirth(next);
}

WorkerView* WorkerTracker::find(const WorkerIncarnation& life)
{
    const auto found = m_views.find(life);
    return found == m_views.end() ? nullptr : &found->second;
}

const WorkerView* WorkerTracker::find(const WorkerIncarnation& life) const
{
    const auto found = m_views.find(life);
    return found == m_views.end() ? nullptr : &found->second;
}

WorkerView* WorkerTracker::current(const WorkerId& worker)
{
    // Lives are ordered by id, then by birth.
    auto after = m_views.upper_bound(WorkerIncarnation { worker, std::numeric_limits<int64_t>::max(), "\x7f" });
    if (after == m_views.begin())
        return nullptr;
    --after;
    return after->first.worker == worker ? &after->second : nullptr;
}

void WorkerTracker::forget(const WorkerIncarnation& life) { m_views.erase(life); }

bool WorkerTracker::isSucceeded(const WorkerIncarnation& life) const
{
    const auto ofWorker = m_latestOfWorker.find(life.worker);
    const auto atAddress = m_latestAtAddress.find(life.address);
    return (ofWorker != m_latestOfWorker.end() && ofWorker->second > life.startTimeMs)
        || (atAddress != m_latestAtAddress.end() && atAddress->second > life.startTimeMs);
}

bool WorkerTracker::isUsable(const WorkerView& view, TimePoint now) const
{
    return view.isProfileKnown && !view.profile.isDraining && !view.leftAt && view.clock.isKnown()
        && now - view.heardAt < m_settings.contactTimeout && !view.failedCalls && now >= view.usableFrom
        && now >= view.probationEnd && !view.hasInheritedRuns
        && (!view.waitingSince || now - *view.waitingSince < m_settings.answerPatience);
}

void WorkerTracker::occupy(WorkerView& view, const StepRef& step, const StepSpec& spec)
{
    view.used += occupied(spec);
    ++view.tasksOfStep[step];
}

void WorkerTracker::release(WorkerView& view, const StepRef& step, const StepSpec& spec)
{
    view.used -= occupied(spec);
    const auto present = view.tasksOfStep.find(step);
    if (present != view.tasksOfStep.end() && !--present->second)
        view.tasksOfStep.erase(present);
}

void WorkerTracker::runEnded(WorkerView& view, RunOutcome end, TimePoint now)
{
    if (end == RunOutcome::Done) {
        view.failedRuns = 0;
        view.probation = Duration(0);
    }
    if (end != RunOutcome::Failed || ++view.failedRuns < failuresBeforeProbation)
        return;
    view.probation = std::clamp(view.probation * 2, firstProbation, longestProbation);
    view.probationEnd = now + view.probation;
}

Millicores WorkerTracker::capacity(const PoolName& pool, TimePoint now) const
{
    Millicores sum;
    for (const auto& [life, view] : m_views) {
        if (view.profile.pool == pool && isUsable(view, now))
            sum += view.profile.capacity.millicores;
    }
    return sum;
}

} // namespace hickoryknot::workflow
