#include "workflow/SpeedPreference.h"

#include <algorithm>
#include <cmath>

#include "workflow/ReadyStep.h"

namespace hickoryknot::workflow {

namespace {

/// Work whose latest start is within this time prefers fast workers even if a slow one seems early enough: a lost
/// request and its retry, a call to the permission service and a run that takes longer than expected use that much.
constexpr Duration urgentSpeedWindow = 2s;
/// Work with time left uses fast workers as long as more than this fraction of their processors is free. Without the
/// reserve, urgent work finds them full; if all of it stayed away, the slow ones would be full beside idle fast ones.
constexpr double fastReserve = 0.3;
/// Width of a class in log(speed). Learned speeds of equal workers differ by less than a third of it after ten runs.
constexpr double speedClassWidth = 0.3;
/// Speeds beyond have the class of this one.
constexpr double lowestSpeed = 0.01;

} // namespace

SpeedPreference speedPreferenceOf(const ReadyStep& step, const SpeedSituation& situation, TimePoint now)
{
    const bool hasValue = now <= step.expiresAt - step.criticalPath;
    const Duration slowCost = timeAtSpeed(step.runTime(), situation.slowestSpeed) - step.runTime();
    const bool isReserveFree = situation.freeOnFastWorkers > fastReserve;
    const bool isUrgent = step.latestStart() - now < std::max(urgentSpeedWindow, slowCost);
    return hasValue && (isUrgent || isReserveFree) && !step.spec->isLongRunning ? SpeedPreference::Fast
                                                                                : SpeedPreference::Slow;
}

int speedClassOf(double speed)
{
    return static_cast<int>(std::lround(std::log(std::max(speed, lowestSpeed)) / speedClassWidth));
}

Duration timeAtSpeed(Duration atUsualSpeed, double speed)
{
    return Duration(std::llround(static_cast<double>(atUsualSpeed.count()) / std::max(speed, lowestSpeed)));
}

bool isInTime(const ReadyStep& step, TimePoint start, double speed)
{
    const Duration afterwards = step.criticalPath - step.runTime();
    return start + timeAtSpeed(step.runTime(), speed) + afterwards <= step.deadline;
}

} // namespace hickoryknot::workflow
