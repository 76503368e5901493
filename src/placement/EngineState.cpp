#include "placement/EngineState.h"

#include <cmath>

namespace hickoryknot {

namespace {

// Used if no run time was declared or measured; long enough that such tasks aren't backfilled.
constexpr Duration defaultExpectedRun = std::chrono::hours(1);
// Prevents overflow of time sums when a measured ratio is extreme.
constexpr double maxRunSeconds = 30.0 * 24 * 3600;

Duration fromSeconds(double seconds) { return Duration(static_cast<int64_t>(std::min(seconds, maxRunSeconds) * 1e6)); }

} // namespace

Duration EngineState::expectedRun(const JobRecord& job) const
{
    const RowRecord& row = rowOf(job);
    const bool usesMeasurements = settings.mechanisms.learnsEstimates;
    if (usesMeasurements && job.runSeconds.hasEnoughSamples())
        return fromSeconds(job.runSeconds.mean());
    if (job.expectedRun > Duration::zero()) {
        const double declared = std::chrono::duration<double>(job.expectedRun).count();
        // Geometric mean of the ratio, so that a few extreme tasks don't dominate it.
        return fromSeconds(usesMeasurements && row.logRunTimeRatio.hasEnoughSamples()
                ? declared * std::exp(row.logRunTimeRatio.mean())
                : declared);
    }
    return usesMeasurements && row.runSeconds.hasEnoughSamples() ? fromSeconds(row.runSeconds.mean())
                                                                 : defaultExpectedRun;
}

TimePoint EngineState::expectedEnd(const Run& run, TimePoint now) const
{
    if (run.isStopping)
        return now;
    if (run.expectedEnd > now)
        return run.expectedEnd;
    // A run past its expected end is expected to take another quarter of its run time so far.
    return now + (now - run.startedAt) / 4;
}

} // namespace hickoryknot
