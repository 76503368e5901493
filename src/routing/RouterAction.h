#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/Ids.h"
#include "core/Outcome.h"
#include "core/Time.h"
#include "protocol/RequestSubmission.h"

namespace hickoryknot {

/// Names one submitted request inside one router. Never used twice.
enum class RequestHandle : uint64_t {};

using SharedRequest = std::shared_ptr<const RequestSubmission>;

/// Send `POST /work` to a backend server. Tell the result once with serverAnswered(), serverRefused() or sendFailed().
struct SendToServer {
    RequestHandle handle {};
    /// 1 for the first send of this ticket.
    uint32_t attempt { 1 };
    ServerId server;
    std::string address;
    uint16_t port { 0 };
    SharedRequest request;
    /// Give up at this moment and tell sendFailed().
    TimePoint deadline;
    /// Time from submission to this send.
    Duration waited { 0 };
};

/// Propose a start-intended record to the home group. Tell the result once with intentRecorded().
struct RecordStart {
    RequestHandle handle {};
    ServerId server;
    SharedRequest request;
    TimePoint deadline;
};

/// Send the request to an entry host of another zone with SubmitOrigin::Peer. Tell the result once with
/// forwardAnswered() or forwardFailed().
struct ForwardToZone {
    RequestHandle handle {};
    ZoneId zone;
    SharedRequest request;
    TimePoint deadline;
};

/// Record the outcome with the home group. When `isAwaited`, the answer waits for outcomeRecorded(), which must be told
/// once; otherwise the ticket has ended and nothing is to be told.
struct RecordOutcome {
    RequestHandle handle {};
    SharedRequest request;
    Outcome outcome;
    bool isAwaited { true };
};

/// Answer the caller. Each submitted request gets exactly one.
struct RespondToCaller {
    RequestHandle handle {};
    Outcome outcome;
    RowName row;
    /// Time before the first send, or before the request was given up without one.
    Duration waited { 0 };
    /// Time from submission to this answer.
    Duration total { 0 };
    /// The request was sent to a backend server of this zone at least once.
    bool hasStarted { false };
};

using RouterAction = std::variant<SendToServer, RecordStart, ForwardToZone, RecordOutcome, RespondToCaller>;

/// Calls append to the vector; the host carries the actions out in order and clears it.
using RouterActions = std::vector<RouterAction>;

} // namespace hickoryknot
