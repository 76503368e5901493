#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "workflow/WorkflowRecord.h"

namespace hickoryknot {

enum class ControlStatus : uint8_t {
    Done, // The call succeeded; the changes that it made are committed.
    NoSuchQueue,
    NoSuchWorkflow,
    Refused, // Not accepted now, for lack of capacity; it does not run unless it is submitted again.
    Invalid, // Can never be accepted.
    NotReady, // Not accepted: there is no queue table yet, or a new leader is taking over.
    NotLeader, // Not executed; `leader` is the current leader, if known.
    Uncertain, // The change may or may not be committed.
    Unauthorised, // Not executed: the queue needs a key, and the call has none or an unknown one.
    IdTaken, // Not accepted: the workflow with this id belongs to another organisation.
};

const char* controlStatusName(ControlStatus);

/// Result of a call. Fields that do not apply to the call stay empty.
struct ControlReply {
    ControlStatus status { ControlStatus::NotReady };
    /// Human-readable explanation, for logs and callers.
    std::string message;
    /// Refused, NotReady: delay after which to retry.
    Duration retryAfter { 0 };
    workflow::WorkflowPhase phase { workflow::WorkflowPhase::Active };
    bool hasStarted { false };
    bool isQueue { false }; // The address names a queue, and `pending` is set.
    uint64_t pending { 0 };
    uint64_t tableVersion { 0 }; // Of the host that served the call.
    std::string text; // The source text of a table, or an explanation.
    HostId leader; // As known by the replying host.
    std::vector<HostId> replicas; // Hosts that store the replicated state.
};

std::string encodeControlReply(const ControlReply&);
/// Error Corrupt: the bytes are not a valid reply.
Expected<ControlReply> decodeControlReply(std::string_view);

} // namespace hickoryknot
