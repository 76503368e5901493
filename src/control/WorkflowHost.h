#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "app/DutyThread.h"
#include "app/GroupRunner.h"
#include "control/ControlCall.h"
#include "control/ControlReply.h"
#include "control/CourierDispatcher.h"
#include "control/DecisionLog.h"
#include "control/HostMessageLinks.h"
#include "control/OrderCourier.h"
#include "control/PermitDispatcher.h"
#include "control/WorkerClient.h"
#include "control/WorkflowHostSettings.h"
#include "membership/HostRegistry.h"
#include "workflow/WorkflowScheduler.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot {

/// A host that keeps a copy of the workflows and, while it leads the group, serves calls, decides and drives workers.
/// Everything runs on one io_context's thread; a thread of its own makes records durable.
class WorkflowHost {
public:
    using Respond = std::function<void(ControlReply)>;

    /// Keeps references. Errors as GroupRunner::open(), or Storage for the file that names the founders.
    static Expected<std::unique_ptr<WorkflowHost>> open(
        boost::asio::io_context&, const WorkflowHostSettings&, HostMessageLinks&, WorkerClient&, PermissionService*);
    ~WorkflowHost();

    /// Serves a call if this host leads, else answers NotLeader. The answer may come later.
    void serve(const ControlCall&, const Respond&);

    /// Answers a question about a workflow from this host's copy, which may be a fraction of a second behind; empty:
    /// only the leader can answer.
    std::optional<ControlReply> readFromReplica(const StatusCall&) const;
    /// The host that leads, as far as this one knows.
    HostId leader() const { return m_runner->group().leader().value_or(HostId()); }

    /// True if this host leads and may act on it now.
    bool isLeading() const;

    /// Hands leadership to another host, for a planned stop.
    void transferLeadership();

    /// What this host says of itself to the leader.
    HostHeartbeatCall makeHeartbeat();

    /// The disk refuses writes: the process should end and start again.
    bool hasStorageFailed() const { return m_runner->group().storageFailure().has_value(); }

    /// Counters and histograms in the Prometheus text format.
    std::string metricsText() const;

    const workflow::WorkflowScheduler& scheduler() const { return m_scheduler; }
    const workflow::WorkflowState& state() const { return m_state; }
    const GroupRunner& runner() const { return *m_runner; }

private:
    struct Waiter {
        Respond respond;
        ControlReply reply;
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

    /// Records the command with the next batch and answers then.
    void record(workflow::WorkflowCommand, const Respond&, ControlReply);
    /// How long work is gathered before the next plan and record.
    Duration gathering() const;
    void schedulePump(Duration delay);
    void pump();
    void propose(uint64_t batch, const std::vector<workflow::WorkflowCommand>&);
    void send(workflow::RunController::Requests&);
    void askPermits(const std::vector<workflow::PermissionRequest>&);
    void leadershipChanged(bool isLeader, uint64_t term, TimePoint now);
    void tickLater();
    void changeMembers(TimePoint now);
    ControlReply makeReply(ControlStatus, std::string message = {}) const;

    boost::asio::io_context& m_io;
    WorkflowHostSettings m_settings;
    HostMessageLinks& m_links;
    CourierDispatcher m_workers;
    OrderCourier m_courier;
    PermitDispatcher m_permits;
    DecisionLog m_log;
    workflow::WorkflowState m_state;
    workflow::WorkflowScheduler m_scheduler;
    DutyThread m_storage;
    std::unique_ptr<GroupRunner> m_runner;

    std::vector<workflow::WorkflowCommand> m_commands;
    std::vector<Waiter> m_waiters;
    /// Workflows whose acceptance is on its way to the record, since when.
    std::map<workflow::WorkflowId, TimePoint> m_accepting;
    std::map<HostId, TrackedHost> m_hosts;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_pumpTimer;
    TimePoint m_pumpDueAt { TimePoint::max() };
    TimePoint m_nextMemberChange;
    TimePoint m_nextAdvance;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot
