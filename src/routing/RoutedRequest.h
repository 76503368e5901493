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
    Idle, // Waits for a retry timer, or is between two other states.
    RecordingStart, // Holds a slot; the home group records the start.
    Running, // Holds a slot; sent to a backend server.
    Forwarded, // Sent to another zone.
    RecordingOutcome, // Has an outcome; the home group records it before the caller gets the response.
};

/// State of one request in the router, from submission until the response is sent and no further event can arrive.
struct RoutedRequest {
    static constexpr uint32_t maxAttempts = 8;

    RequestHandle handle {};
    SharedRequest submission;
    RequestState state { RequestState::Waiting };
    uint32_t row { 0 };
    bool isRepeatable { true };
    bool isFromPeer { false };
    TimePoint submittedAt;
    TimePoint deadline;
    /// End of the row's waitBound; applies until the first send.
    TimePoint waitDeadline;

    /// Number of sends so far, and the servers of these sends.
    uint32_t attempt { 0 };
    std::array<uint32_t, maxAttempts> tried {};
    /// Server of the allocated slot in RecordingStart and Running.
    uint32_t server { 0 };
    TimePoint sentAt;
    Duration waited { 0 };

    /// Some send got no response and may have started on a server.
    bool mayHaveRun { false };
    bool isStartRecorded { false };
    bool wasForwarded { false };
    bool isCallerDisconnected { false };
    /// The caller has its response; only the event that releases the slot or completes the record is outstanding.
    bool isResponseSent { false };
    /// Outcome in RecordingOutcome, and of a response sent while the start record was pending.
    Outcome outcome;

    std::span<const uint32_t> triedServers() const { return { tried.data(), attempt }; }
    bool holdsSlot() const { return state == RequestState::RecordingStart || state == RequestState::Running; }
    bool isInQueue() const { return state == RequestState::Waiting && !isResponseSent; }
};

} // namespace hickoryknot
