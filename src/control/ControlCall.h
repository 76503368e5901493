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

/// Where a caller addresses its request: the host name it asked for and the path, which name a queue and, behind the
/// queue's prefix, a workflow.
struct CallerAddress {
    std::string requestedHost;
    std::string path;
};

/// Submits a workflow; a known id is accepted again.
struct SubmitCall {
    CallerAddress address;
    workflow::WorkflowSpec spec;
};

/// Asks for the state of a workflow, or of a queue when the path ends with its prefix.
struct StatusCall {
    CallerAddress address;
    /// Table version that the asking host has seen: a host that knows only older ones must not answer.
    uint64_t minTableVersion { 0 };
};

struct CancelCall {
    CallerAddress address;
};

/// Puts a queue table in force, unless the one in force has the same or a higher version.
struct ReplaceTableCall {
    workflow::QueueTable table;
};

struct ReadTableCall { };

/// A heartbeat of a worker.
struct WorkerReportCall {
    workflow::WorkerReport report;
};

/// A worker ends.
struct WorkerLeaveCall {
    WorkerId worker;
};

/// A host tells the leader of itself, about twice a second.
struct HostHeartbeatCall {
    HostId host;
    ZoneId zone;
    bool isReplica { false }; // It has a disk and may be a voter.
    uint64_t storeId { 0 };
    uint64_t incarnation { 0 };
    bool canRequestPermissions { false }; // It can call the permission service for the leader.
    bool isWorkerProxy { false }; // It can call workers for the leader.
    bool isDraining { false };
};

struct ExplainCall {
    workflow::WorkflowId workflow;
};

using ControlCall = std::variant<SubmitCall, StatusCall, CancelCall, ReplaceTableCall, ReadTableCall, WorkerReportCall,
    WorkerLeaveCall, HostHeartbeatCall, ExplainCall>;

/// Calls may be sent again: ids and versions make a repeated one change nothing.
std::string encodeControlCall(const ControlCall&);
/// Corrupt: the bytes are no call.
Expected<ControlCall> decodeControlCall(std::string_view);

} // namespace hickoryknot
