#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "app/GroupRunner.h"
#include "app/WorkQueueThread.h"
#include "control/ControlCall.h"
#include "control/ControlReply.h"
#include "control/DecisionLog.h"
#include "control/HostMessageLinks.h"
#include "control/PermissionDispatcher.h"
#include "control/WorkerClient.h"
#include "control/WorkerProxy.h"
#include "control/WorkerProxyDispatcher.h"
#include "control/WorkflowHostSettings.h"
#include "membership/HostRegistry.h"
#include "workflow/WorkflowScheduler.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot {

/// A host that stores a replica of the workflow state and, while it is the group's leader, serves calls, schedules
/// tasks and sends requests to workers. Everything runs on the io_context's thread except for disk writes, which have a
/// thread of their own.
class WorkflowHost {
public:
    using Respond = std::function<void(ControlReply)>;

    /// Keeps references to its arguments. Errors as GroupRunner::open(), or Storage for the file of initial members.
    static Expected<std::unique_ptr<WorkflowHost>> open(
        boost::asio::io_context&, const WorkflowHostSettings&, HostMessageLinks&, WorkerClient&, PermissionService*);
    ~WorkflowHost();

    /// Serves a call if this host is leader, otherwise replies NotLeader. May respond later.
    void serve(const ControlCall&, const Respond&);

    /// Reads the state of a workflow from this host's replica, which may be a fraction of a second behind the leader.
    /// Empty if only the leader can serve the call.
    std::optional<ControlReply> readFromReplica(const StatusCall&) const;
    /// The current leader as known by this host; may be empty.
    HostId leader() const { return m_runner->group().leader().value_or(HostId()); }

    /// True if this host is leader and its leader lease is valid now.
    bool isLeading() const;

    /// Transfers leadership to another host before a planned stop.
    void transferLeadership();

    /// This host's periodic heartbeat to the leader.
    HostHeartbeatCall makeHeartbeat();

    /// True if the disk rejects writes. The host must then be closed and opened again.
    bool hasStorageFailed() const { return m_runner->group().storageFailure().has_value(); }

    /// Counters and histograms in the Prometheus text format.
    std::string metricsText() const;

    const workflow::WorkflowScheduler& scheduler() const { return m_scheduler; }
    const workflow::WorkflowState& state() const { return m_state; }
    const GroupRunner& runner() const { return *m_runner; }

private:
    struct PendingReply {
        Respond respond;
        std::function<ControlReply()> makeReply; // Called once the batch is committed and applied.
    };

    /// A workflow whose acceptance is not committed yet.
    struct PendingAcceptance {
        TimePoint submittedAt;
        workflow::WorkflowOwner owner;
    };

    /// Target of a caller's call and the organisation on whose behalf it is made.
    struct AuthorisedTarget {
        workflow::QueueTable::Target target;
        workflow::OrganisationName organisation;
    };

    WorkflowHost(
        boost::asio::io_context&, const WorkflowHostSettings&, HostMessageLinks&, WorkerClient&, PermissionService*);
    Expected<void> start();

    void handle(const SubmitCall&, const Respond&);
    void handle(const StatusCall&, const Respond&);
    void handle(const CancelCall&, const Respond&);
    void handle(const ReplaceTableCall&, const Respond&);
    void handle(const ReadTableCall&, const Respond&);
    void handle(const WorkerReportCall&, const Respond&);
    void handle(const WorkerLeaveCall&, const Respond&);
    void handle(const HostHeartbeatCall&, const Respond&);
    void handle(const ExplainCall&, const Respond&);

    /// Finds the queue and checks the key. Error: the reply to the caller, NotReady, NoSuchQueue or Unauthorised.
    tl::expected<AuthorisedTarget, ControlReply> authorise(const CallerAddress&, TimePoint now);
    /// Empty if the workflow is neither recorded nor being committed.
    std::optional<workflow::WorkflowOwner> ownerOf(const workflow::WorkflowId&) const;
    /// Adds the command to the next batch. Makes and sends the reply once the batch is committed and applied.
    void enqueueCommand(workflow::WorkflowCommand, const Respond&, std::function<ControlReply()>);
    /// The recorded workflow, if this organisation may access it by way of the queue; otherwise null.
    const workflow::WorkflowRecord* findFor(const workflow::EarlyCancellation::Key&, const workflow::QueueName&) const;
    /// Cancels a workflow without a record that the caller may access, so that it is not accepted later either.
    void cancelUnknown(const workflow::EarlyCancellation::Key&, const workflow::QueueName&, const Respond&);
    /// How long events are collected before the next scheduling cycle.
    Duration batchDelay() const;
    void scheduleCycle(Duration delay);
    void runSchedulingCycle();
    void propose(uint64_t batch, const std::vector<workflow::WorkflowCommand>&);
    void sendWorkerRequests(workflow::RunController::Requests&);
    void requestPermissions(const std::vector<workflow::PermissionRequest>&);
    void onLeadershipChanged(bool isLeader, uint64_t term, TimePoint now);
    void scheduleTick();
    void reconcileMembers(TimePoint now);
    ControlReply makeReply(ControlStatus, std::string message = {}) const;

    boost::asio::io_context& m_io;
    WorkflowHostSettings m_settings;
    HostMessageLinks& m_links;
    WorkerProxyDispatcher m_workers;
    WorkerProxy m_workerProxy;
    PermissionDispatcher m_permissions;
    DecisionLog m_log;
    workflow::WorkflowState m_state;
    workflow::WorkflowScheduler m_scheduler;
    WorkQueueThread m_storage;
    std::unique_ptr<GroupRunner> m_runner;

    std::vector<workflow::WorkflowCommand> m_queuedCommands;
    std::vector<PendingReply> m_pendingReplies;
    std::map<workflow::WorkflowId, PendingAcceptance> m_pendingAcceptances;
    std::map<HostId, TrackedHost> m_hosts;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_cycleTimer;
    TimePoint m_nextCycleAt { TimePoint::max() };
    TimePoint m_nextMemberChange;
    TimePoint m_nextPeriodicCycle;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot
