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

/// Handle of a submitted request in one router. Never reused.
enum class RequestHandle : uint64_t {};

using SharedRequest = std::shared_ptr<const RequestSubmission>;

/// Sends `POST /work` to a backend server. Report the result exactly once with onServerResponse(), onServerRejection()
/// or onSendFailure().
struct SendToServer {
    RequestHandle handle {};
    /// 1 for the first send of this request.
    uint32_t attempt { 1 };
    ServerId server;
    std::string address;
    uint16_t port { 0 };
    SharedRequest request;
    /// Call onSendFailure() if there is no response at this time.
    TimePoint deadline;
    /// Time from submission to this send.
    Duration waited { 0 };
};

/// Proposes a start-intended record to the home group. Report the result exactly once with onStartRecordResult().
struct RecordStart {
    RequestHandle handle {};
    ServerId server;
    SharedRequest request;
    TimePoint deadline;
};

/// Sends the request to an entry host of another zone with SubmitOrigin::Peer. Report the result exactly once with
/// onForwardResponse() or onForwardFailure().
struct ForwardToZone {
    RequestHandle handle {};
    ZoneId zone;
    SharedRequest request;
    TimePoint deadline;
};

/// Records the outcome with the home group. If `isAwaited`, the response to the caller waits for
/// onOutcomeRecordFinished(), which must be called exactly once; otherwise the handle has ended and nothing is
/// reported.
struct RecordOutcome {
    RequestHandle handle {};
    SharedRequest request;
    Outcome outcome;
    bool isAwaited { true };
};

/// Sends the response to the caller, exactly one for each submitted request.
struct RespondToCaller {
    RequestHandle handle {};
    Outcome outcome;
    RowName row;
    /// Time from submission to the first send, or to the response if there was no send.
    Duration waited { 0 };
    /// Time from submission to this response.
    Duration total { 0 };
    /// The request was sent to a backend server of this zone at least once.
    bool hasStarted { false };
};

using RouterAction = std::variant<SendToServer, RecordStart, ForwardToZone, RecordOutcome, RespondToCaller>;

/// Router methods append to the vector; the host executes the actions in order and clears it.
using RouterActions = std::vector<RouterAction>;

} // namespace hickoryknot
