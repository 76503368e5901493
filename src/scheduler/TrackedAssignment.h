#pragma once

#include <cstdint>
#include <optional>

#include "core/Ids.h"
#include "core/Time.h"
#include "state/TaskRecord.h"
#include "state/ZoneState.h"

namespace hickoryknot {

/// State of an assignment that the zone leader tracks in addition to the committed record. Soft state.
struct TrackedAssignment {
    enum class Phase : uint8_t {
        Unsent, // The start command has not been sent.
        Sent, // The start command was sent; the worker has not reported the task yet.
        Running, // The worker has reported the task as running.
    };
    /// A request to end the task early.
    struct StopRequest {
        bool checkpoint { false };
        TaskResult result { TaskResult::Stopped };
        TimePoint requestedAt;
        /// Empty until the stop command has been sent to the worker.
        std::optional<TimePoint> sentAt;
    };

    TaskKey key;
    WorkerId worker;
    uint64_t incarnation { 0 };
    Phase phase { Phase::Unsent };
    bool isRepeatable { true };
    /// Assigned before this leadership began, so an earlier leader may have sent the start command.
    bool isInherited { false };
    /// The worker's latest heartbeat lists the task as running.
    bool isInLatestReport { false };
    /// A heartbeat received after the start command was sent did not acknowledge the response that carried it.
    bool isStartPossiblyLost { false };
    /// The worker has acknowledged the response that carried the start command, or has reported the task.
    bool isStartAcknowledged { false };
    /// The end of the assignment is proposed and not committed yet.
    bool isEndProposed { false };
    /// The worker has reported the end of the task and waits for the acknowledgement.
    bool isEndReported { false };
    /// Sequence number of the response that carried the start command.
    uint64_t sentSequence { 0 };
    /// For tasks that are not repeatable: when the lease was found expired, and the sequence number of the first
    /// response sent after that.
    std::optional<TimePoint> expiredAt;
    uint64_t firstSequenceAfterExpiry { 0 };
    /// A heartbeat sent after the lease expired does not list the task.
    bool isAbsentAfterExpiry { false };
    std::optional<StopRequest> stop;
};

} // namespace hickoryknot
