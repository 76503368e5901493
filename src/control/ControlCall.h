#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "workflow/QueueTable.h"
#include "workflow/WorkerReport.h"
#include "workflow/WorkflowIds.h"
#include "workflow/WorkflowSpec.h"

namespace hickoryknot {

/// Target of a caller's request. The requested host name and the path select a queue; the part of the path after the
/// queue's prefix is the workflow id.
struct CallerAddress {
    std::string requestedHost;
    std::string path;
    /// Digest of the caller's key. The host that decides the call compares it with its own table.
    workflow::KeyDigest key {};
};

/// Submits a workflow. Submitting a known id again succeeds and changes nothing.
struct SubmitCall {
    CallerAddress address;
    workflow::WorkflowSpec spec;
};

/// Reads the state of a workflow, or of a queue if the path ends with the queue's prefix.
struct StatusCall {
    CallerAddress address;
    /// Highest table version known to the requesting host; a host with an older table must not serve the call.
    uint64_t minTableVersion { 0 };
};

struct CancelCall {
    CallerAddress address;
};

/// Replaces the queue table, unless the current one has the same or a higher version.
struct ReplaceTableCall {
    workflow::QueueTable table;
};

struct ReadTableCall { };

/// A heartbeat of a worker.
struct WorkerReportCall {
    workflow::WorkerReport report;
};

/// A worker is shutting down.
struct WorkerLeaveCall {
    WorkerId worker;
};

/// Periodic heartbeat of a host to the leader, about twice a second.
struct HostHeartbeatCall {
    HostId host;
    ZoneId zone;
    bool isReplica { false }; // The host stores the replicated state and may become a voter.
    uint64_t storeId { 0 };
    uint64_t incarnation { 0 };
    bool canRequestPermissions { false }; // The host can call the permission service on behalf of the leader.
    bool isWorkerProxy { false }; // The host can call workers on behalf of the leader.
    bool isDraining { false };
};

struct ExplainCall {
    workflow::WorkflowId workflow;
};

using ControlCall = std::variant<SubmitCall, StatusCall, CancelCall, ReplaceTableCall, ReadTableCall, WorkerReportCall,
    WorkerLeaveCall, HostHeartbeatCall, ExplainCall>;

/// All calls are idempotent through their ids and versions, so they may be sent again.
std::string encodeControlCall(const ControlCall&);
/// Error Corrupt: the bytes are not a valid call.
Expected<ControlCall> decodeControlCall(std::string_view);

} // namespace hickoryknot
