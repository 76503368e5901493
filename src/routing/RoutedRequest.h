#pragma once

#include <array>
#include <cstdint>
#include <span>

#include "core/Outcome.h"
#include "core/Time.h"
#include "routing/RouterAction.h"

namespace hickoryknot {

enum class RequestState : uint8_t {
    Waiting, // In the queue of its row.
    BackingOff, // Waits for the moment of a retry.
    RecordingStart, // Holds a slot and waits for the home group.
    Running, // Sent to a backend server; holds a slot.
    Forwarded, // Sent to another zone.
    RecordingOutcome, // Has its outcome; the answer waits for the home group.
};

/// One request inside the router, from submission until its answer is given and no further event about it can come.
struct RoutedRequest {
    static constexpr uint32_t maxAttempts = 8;

    RequestHandle ticket {};
    SharedRequest submission;
    RequestState state { RequestState::Waiting };
    uint32_t row { 0 };
    bool isRepeatable { true };
    bool isFromPeer { false };
    TimePoint submittedAt;
    TimePoint deadline;
    /// End of the row's waitBound; counts until the first send.
    TimePoint waitUntil;

    /// Sends so far, and the servers they went to.
    uint32_t attempt { 0 };
    std::array<uint32_t, maxAttempts> tried {};
    /// Server whose slot is held in RecordingStart and Running.
    uint32_t server { 0 };
    TimePoint sentAt;
    Duration waited { 0 };

    /// Some send may have started on a server and has no answer.
    bool mayHaveRun { false };
    bool isIntentGranted { false };
    bool wasForwarded { false };
    bool isCallerGone { false };
    /// The answer was given; only the event that releases the slot or the record is still awaited.
    bool isAnswered { false };
    /// Outcome in RecordingOutcome, and of an answer given while the start record was pending.
    Outcome outcome;

    std::span<const uint32_t> triedServers() const { return { tried.data(), attempt }; }
    bool holdsSlot() const { return state == RequestState::RecordingStart || state == RequestState::Running; }
    bool isInQueue() const { return state == RequestState::Waiting && !isAnswered; }
};

} // namespace hickoryknot
