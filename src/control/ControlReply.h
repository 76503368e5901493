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
    Done, // Accepted, recorded, or the answer to a question.
    NoSuchQueue,
    NoSuchWorkflow,
    Refused, // Not accepted now, for lack of room; it never runs unless it is sent again.
    Invalid, // Can never be accepted.
    NotReady, // Not accepted: there is no queue table yet, or the leader is just taking over.
    NotLeader, // Nothing was done; `leader` names the host to ask, if it is known.
    Uncertain, // It may have been recorded.
};

const char* controlStatusName(ControlStatus);

/// What became of a call. Fields that the call does not ask for stay empty.
struct ControlReply {
    ControlStatus status { ControlStatus::NotReady };
    /// A sentence for logs and people.
    std::string message;
    /// Refused, NotReady: when to come back.
    Duration retryAfter { 0 };
    workflow::WorkflowPhase phase { workflow::WorkflowPhase::Active };
    bool hasStarted { false };
    bool isQueue { false }; // The address named a queue: `pending` is set.
    uint64_t pending { 0 };
    uint64_t tableVersion { 0 }; // In force where the call was served.
    std::string text; // A table's document, or an explanation.
    HostId leader; // As the host that replied knows it.
    std::vector<HostId> replicas; // Hosts that keep state.
};

std::string encodeControlReply(const ControlReply&);
/// Corrupt: the bytes are no reply.
Expected<ControlReply> decodeControlReply(std::string_view);

} // namespace hickoryknot
