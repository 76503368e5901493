#pragma once

#include <cstdint>
#include <optional>

#include "core/Ids.h"
#include "core/Time.h"
#include "state/TaskRecord.h"
#include "state/ZoneState.h"

namespace hickoryknot {

/// What the zone leader knows of an assignment beyond the record. Soft state.
struct AssignmentView {
    enum class Phase : uint8_t {
        Unsent, // Its start command has not been handed out by anyone.
        Sent, // Its start command was handed out; whether the worker got it is open.
        Running, // The worker has listed it.
    };
    /// A wish to end the task early.
    struct Stop {
        bool checkpoint { false };
        TaskResult result { TaskResult::Stopped };
        TimePoint since;
        /// Empty until it was told to the worker.
        std::optional<TimePoint> sentAt;
    };

    TaskKey key;
    WorkerId worker;
    uint64_t incarnation { 0 };
    Phase phase { Phase::Unsent };
    bool isRepeatable { true };
    /// Was assigned before this leadership began, so an earlier leader may have handed it out.
    bool isInherited { false };
    /// Part of the worker's latest report.
    bool isListed { false };
    /// The report that followed the start command was sent without knowledge of it.
    bool isMissed { false };
    /// The worker has confirmed the answer with the start command, or has listed the task.
    bool isReceived { false };
    /// An end is proposed and not committed yet.
    bool isEnding { false };
    /// The worker has reported its end and waits for the acknowledgement.
    bool isReported { false };
    /// Answer that carried the start command.
    uint64_t sentSequence { 0 };
    /// Set once the lease has run out on a task that must not run twice: when, and the first answer given after it.
    std::optional<TimePoint> expiredAt;
    uint64_t probeSequence { 0 };
    /// A report sent after the lease ran out does not list it.
    bool isDenied { false };
    std::optional<Stop> stop;
};

} // namespace hickoryknot
