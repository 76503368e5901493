#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/Resources.h"
#include "workflow/IncarnationLifetime.h"
#include "workflow/WorkerProfile.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// The leader's soft state of one worker incarnation.
struct TrackedWorker {
    WorkerProfile profile;
    /// Dense index of the worker id, shared by all its incarnations during a leadership.
    uint32_t number { 0 };
    /// A later incarnation with the same id or address shows that this one has ended.
    bool isSuperseded { false };
    bool isProfileKnown { false }; // If false, this incarnation is known only from recorded runs.
    uint64_t sequence { 0 };
    IncarnationLifetime lifetime;
    /// Another incarnation seems to be running in place of this one; a poll will tell.
    bool isInDoubt { false };
    /// It has reported itself, but another incarnation counts as the latest one until this one responds to a poll.
    bool isUnconfirmed { false };
    TimePoint lastContactAt;
    /// When this leader received the profile, and the worker's clock when it was sent. Missing for recorded profiles.
    std::optional<TimePoint> profileReceivedAt;
    std::optional<WorkerClockMs> profileClock;
    /// Learned speed; see RunTimeModel::speedOf().
    double speed { 1 };
    /// Sum over runs that may occupy the worker, without the processors of tasks that use spare capacity.
    Resources used;
    /// Runs of tasks that may have crashed another worker.
    uint32_t suspectRuns { 0 };
    uint32_t longRunningRuns { 0 };
    /// For StepSpec::maxPerWorker.
    std::map<StepRef, uint32_t> taskCountByStep;

    // Polls and leases.
    /// The worker has responded to a poll of this leadership, so it rejects earlier leaders.
    bool hasConfirmedFence { false };
    bool hasInheritedRuns { false }; // Some runs were placed by an earlier leader and are not yet reported to this one.
    bool hasMovedRuns { false }; // Runs of an earlier incarnation may be here; the next complete list decides.
    bool hasMoreEnds { false }; // As in the latest poll response.
    uint32_t pollsInFlight { 0 }; // With probes.
    TimePoint pollSentAt; // Of the latest regular poll.
    std::optional<TimePoint> pollOverdueAt; // Set while a regular poll awaits its response.
    std::optional<TimePoint> probeOverdueAt; // Set while a probe awaits its response.
    TimePoint nextPollAt;
    uint64_t lastReceivedEnd { 0 }; // Highest end number received.
    uint64_t lastRecordedEnd { 0 }; // Ends up to this number are committed.
    uint64_t lastConfirmedEnd { 0 }; // Ends up to this number are confirmed to the worker.
    /// After this time nothing runs there unless a lease is renewed.
    TimePoint leaseEnd;
    uint32_t consecutiveFailedCalls { 0 }; // Reset by any response.
    TimePoint backoffEnd; // After failed calls, no retries before this time.
    std::optional<TimePoint> pendingStartSince; // A start is pending since then, without any response.
    std::optional<TimePoint> leavingSince; // When the worker announced its shutdown.

    /// Consecutive failed runs; see WorkerTracker::onRunEnded().
    uint32_t consecutiveFailedRuns { 0 };
    TimePoint probationEnd;
    Duration probationDuration { 0 };

    const WorkerIncarnation& incarnation() const { return profile.incarnation; }
    Resources free() const { return profile.capacity - used; }
};

} // namespace hickoryknot::workflow
