#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/Resources.h"
#include "workflow/WorkerClock.h"
#include "workflow/WorkerProfile.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// What the leader knows of one life of a worker. Soft state of one leadership.
struct WorkerView {
    WorkerProfile profile;
    /// Small number of the worker's id, the same for all its lives during a leadership.
    uint32_t number { 0 };
    /// A later life under the same id, or at the same address, shows that this one has ended.
    bool isSucceeded { false };
    bool isProfileKnown { false }; // False: only runs from the record refer to this life.
    uint64_t sequence { 0 };
    WorkerClock clock;
    TimePoint heardAt;
    /// Sum over runs that may occupy the worker; processors of tasks that use spare capacity are left out.
    Resources used;
    /// Tasks by step, for limits per worker.
    std::map<StepRef, uint32_t> tasksOfStep;

    /// Looks and leases.
    bool isFenced { false }; // It has answered a call of this leadership.
    bool hasInheritedRuns { false }; // Placed by an earlier leader and not yet seen by this one.
    bool isLookInFlight { false };
    TimePoint nextLookAt;
    uint64_t seenEnds { 0 }; // Highest end number taken in.
    uint64_t recordedEnds { 0 }; // Ends up to this number are recorded.
    uint64_t confirmedEnds { 0 }; // The worker has been told that ends up to this number are recorded.
    /// From then on nothing runs there unless a lease is renewed.
    TimePoint leaseEnd;
    uint32_t failedCalls { 0 }; // In a row; any answer ends them.
    TimePoint usableFrom; // After failed calls.
    std::optional<TimePoint> waitingSince; // A start is on its way, and nothing has been answered since.
    std::optional<TimePoint> leftAt; // The worker said that it ends.

    /// Runs that ended in a row as failed, by different workflows; see WorkerTracker::runEnded().
    uint32_t failedRuns { 0 };
    TimePoint probationEnd;
    Duration probation { 0 };

    const WorkerIncarnation& life() const { return profile.incarnation; }
    Resources free() const { return profile.capacity - used; }
};

} // namespace hickoryknot::workflow
