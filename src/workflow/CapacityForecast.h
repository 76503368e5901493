#pragma once

#include <cstdint>
#include <vector>

#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot::workflow {

struct TrackedRun;

/// What the runs on one worker are expected to release, and when. Answers when a task of a waiting gang will fit, under
/// loads in which no capacity is free for long.
class CapacityForecast {
public:
    /// Runs whose end is already being recorded or stopped count as released soon.
    void build(const std::vector<const TrackedRun*>& runs, TimePoint now);
    /// Drops all claims.
    void reset() { m_releases = m_expected; }

    /// Appends the times at which the first, second and further tasks of this size fit, given what is free now; at most
    /// `maxTasks`.
    void findSlots(const Resources& free, const Resources& size, uint32_t maxTasks, TimePoint now,
        std::vector<TimePoint>& slots) const;
    /// Claims the capacity of one task that starts at `at`: what is released until then, and as little as possible of
    /// `free`, which it reduces. Returns what it took from `free`.
    Resources claim(Resources& free, const Resources& size, TimePoint at);
    /// False once a run should have ended: a new forecast would expect it later.
    bool isCurrent(TimePoint now) const { return m_expected.empty() || now < m_expected.front().at; }
    /// Expected free capacity at a later time.
    Resources freeAt(Resources free, TimePoint at) const;

private:
    struct Release {
        TimePoint at;
        Resources amount;
    };

    std::vector<Release> m_expected; // In order of time.
    std::vector<Release> m_releases; // The same, less what is claimed.
};

/// True if a run has done most of its work by its learned run time, so that stopping it saves little. False if it has
/// far outlasted that time, which then says nothing, and without a learned time.
bool isNearlyDone(const TrackedRun&, TimePoint now);

/// Expected end of a run, from its reported progress if there is any, otherwise from the estimated run time.
TimePoint expectedEnd(const TrackedRun&, TimePoint now);

} // namespace hickoryknot::workflow
