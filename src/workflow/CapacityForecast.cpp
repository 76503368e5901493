#include "workflow/CapacityForecast.h"

#include <algorithm>

#include "workflow/TrackedRun.h"
#include "workflow/WorkerTracker.h"

namespace hickoryknot::workflow {

namespace {

/// Time until a run that is stopping or whose end is being recorded has released its capacity: one commit.
constexpr Duration endingTime = 50ms;
/// Less reported progress than this says little about the remaining run time.
constexpr uint32_t minProgressPercent = 10;
/// A run that has outlasted its estimate is expected to need this fraction of its run time so far.
constexpr int64_t overrunDivisor = 4;
/// A run in this part of its learned run time is nearly done, as one that reports the progress with which runs are no
/// longer preempted.
constexpr int64_t nearlyDonePercent = 75;
constexpr int64_t overrunPercent = 150;

} // namespace

TimePoint expectedEnd(const TrackedRun& run, TimePoint now)
{
    if (run.isStopRequested || run.phase == TrackedRun::Phase::Ended)
        return now + endingTime;
    if (run.spec.isLongRunning)
        return TimePoint::max();
    TimePoint end = run.startedAt + run.expectedRunTime();
    if (run.percent >= minProgressPercent && run.percent <= 100 && run.lastProgressAt > run.startedAt)
        end = run.lastProgressAt
            + (run.lastProgressAt - run.startedAt) * static_cast<int64_t>(100 - run.percent)
                / static_cast<int64_t>(run.percent);
    if (end > now)
        return end;
    return now + std::max(endingTime, (now - run.startedAt) / overrunDivisor);
}

bool isNearlyDone(const TrackedRun& run, TimePoint now)
{
    if (!run.learnedRunTime)
        return false;
    const Duration elapsed = now - run.startedAt;
    return elapsed >= *run.learnedRunTime * nearlyDonePercent / 100
        && elapsed <= *run.learnedRunTime * overrunPercent / 100;
}

void CapacityForecast::build(const std::vector<const TrackedRun*>& runs, TimePoint now)
{
    m_expected.clear();
    for (const auto* run : runs) {
        const TimePoint at
            = run->phase == TrackedRun::Phase::Proposed ? now + run->expectedRunTime() : expectedEnd(*run, now);
        if (at != TimePoint::max())
            m_expected.push_back({ .at = at, .amount = resourceDemand(run->spec) });
    }
    std::sort(m_expected.begin(), m_expected.end(), [](const Release& a, const Release& b) { return a.at < b.at; });
    reset();
}

void CapacityForecast::findSlots(
    const Resources& free, const Resources& size, uint32_t maxTasks, TimePoint now, std::vector<TimePoint>& slots) const
{
    Resources available = free;
    TimePoint at = now;
    auto next = m_releases.begin();
    for (uint32_t found = 0; found < maxTasks;) {
        if (size.isCoveredBy(available)) {
            available -= size;
            slots.push_back(at);
            ++found;
        } else if (next != m_releases.end()) {
            available += next->amount;
            at = std::max(at, next->at);
            ++next;
        } else {
            return;
        }
    }
}

Resources CapacityForecast::claim(Resources& free, const Resources& size, TimePoint at)
{
    Resources missing = size;
    for (auto& release : m_releases) {
        if (release.at > at)
            break;
        const Resources taken = minOf(release.amount, missing);
        release.amount -= taken;
        missing -= taken;
    }
    const Resources fromFree = minOf(maxOf(free, {}), missing);
    free -= fromFree;
    return fromFree;
}

Resources CapacityForecast::freeAt(Resources free, TimePoint at) const
{
    for (const auto& release : m_releases) {
        if (release.at > at)
            break;
        free += release.amount;
    }
    return free;
}

} // namespace hickoryknot::workflow
