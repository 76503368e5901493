#pragma once

#include <cstdint>

#include "core/Time.h"

namespace hickoryknot::workflow {

struct ReadyStep;

/// Which workers the tasks of a step prefer among those with room, for clusters whose workers differ in speed.
enum class SpeedPreference : uint8_t {
    Fast, // Little time is left, or the work is late.
    Slow, // A slow worker is early enough, and the fast ones must stay free for urgent work.
};

/// What a preference depends on besides the step.
struct SpeedSituation {
    double slowestSpeed { 1 }; // Of any worker.
    /// Fraction of the processors of fast workers that is free.
    double freeOnFastWorkers { 0 };
};

/// Work whose result has no value left prefers slow workers.
SpeedPreference speedPreferenceOf(const ReadyStep&, const SpeedSituation&, TimePoint now);

/// Workers of about the same speed have the same class; the usual speed has class 0, and higher classes are faster.
/// Coarse, so that the noise of learned speeds does not decide between equal workers.
int speedClassOf(double speed);

/// Position of a class in the order of preference; lower comes first.
constexpr int speedRank(SpeedPreference preference, int speedClass)
{
    return preference == SpeedPreference::Fast ? -speedClass : speedClass;
}

/// Time that work takes on a worker of this speed.
Duration timeAtSpeed(Duration atUsualSpeed, double speed);

/// True if a task of the step that starts at `start` on a worker of this speed lets the workflow meet its deadline.
bool isInTime(const ReadyStep&, TimePoint start, double speed);

} // namespace hickoryknot::workflow
