#include "placement/EngineState.h"

#include <cmath>

namespace hickoryknot {

namespace {

// Assumed when nothing was declared or measured: long enough that reserved capacity is not lent on a guess.
constexpr Duration unknownRun = std::chrono::hours(1);
// Keeps sums of times far from overflow when a measured ratio is absurd.
constexpr double longestRunSeconds = 30.0 * 24 * 3600;

Duration fromSeconds(double seconds)
{
    return Duration(static_cast<int64_t>(std::min(seconds, longestRunSeconds) * 1e6));
}

} // namespace

Duration EngineState::expectedRun(const JobRecord& job) const
{
    const RowRecord& row = rowOf(job);
    const bool learns = settings.mechanisms.learnsEstimates;
    if (learns && job.runSeconds.isKnown())
        return fromSeconds(job.runSeconds.mean());
    if (job.expectedRun > Duration::zero()) {
        const double declared = std::chrono::duration<double>(job.expectedRun).count();
        // The mean of logarithms, so that a few extreme tasks do not dominate.
        return fromSeconds(learns && row.runRatio.isKnown() ? declared * std::exp(row.runRatio.mean()) : declared);
    }
    return learns && row.runSeconds.isKnown() ? fromSeconds(row.runSeconds.mean()) : unknownRun;
}

TimePoint EngineState::expectedEnd(const Run& run, TimePoint now) const
{
    if (run.isStopping)
        return now;
    if (run.expectedEnd > now)
        return run.expectedEnd;
    // A late task is expected to need a quarter more than it had.
    return now + (now - run.startedAt) / 4;
}

} // namespace hickoryknot
