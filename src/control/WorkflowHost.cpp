#include "control/WorkflowHost.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "app/EventLog.h"
#include "app/MemberPolicy.h"
#include "app/SteadyTime.h"
#include "control/ControlPaths.h"
#include "control/HostAddress.h"
#include "control/InitialMembersFile.h"
#include "control/OrganisationMetrics.h"
#include "report/PrometheusText.h"

namespace hickoryknot {

using namespace workflow;

namespace {

/// Tick interval of the replicated log; a third of its heartbeat interval.
constexpr Duration tickPeriod = 25ms;
/// Maximum time between scheduling cycles, which also check leases and retries.
constexpr Duration cyclePeriod = 25ms;
/// Events within this time share a scheduling cycle and a log entry; much shorter than the start of a task.
constexpr Duration smallClusterBatchDelay = 4ms;
/// The same for many workers, where each cycle and log entry costs more and events are more frequent.
constexpr Duration largeClusterBatchDelay = 10ms;
constexpr size_t largeClusterWorkers = 100;
/// Minimum time between changes of the group's members.
constexpr Duration memberChangeInterval = 300ms;
/// A voter without contact for this long is replaced by a live non-voting replica, if there is one. A restart takes
/// about one second, and the group must tolerate the next failure four seconds after the previous one.
constexpr Duration replaceSilentAfter = 2500ms;
/// Log entries between snapshots; writing a snapshot blocks the host for some milliseconds.
constexpr uint64_t snapshotInterval = 8192;

// What the run time model has learned; see docs/operators.md.
void addRunTimeMetrics(Metrics& metrics, const WorkflowScheduler& scheduler)
{
    const auto& model = scheduler.runTimeModel();
    const auto accuracy = model.accuracy();
    const auto speeds = model.speedRange();
    const auto set
        = [&](const char* name, const char* help, double value) { metrics.set(metrics.gauge(name, help), value); };
    set("hickoryknot_run_time_error_declared", "Median of |log(estimate / run time)| of callers' estimates",
        accuracy.declaredError);
    set("hickoryknot_run_time_error_learned", "The same of learned run times", accuracy.learnedError);
    set("hickoryknot_run_time_expected_seconds", "Sum of learned run times of the runs done in this leadership",
        std::chrono::duration<double>(accuracy.expected).count());
    set("hickoryknot_run_time_actual_seconds", "Sum of the actual run times of the same runs",
        std::chrono::duration<double>(accuracy.actual).count());
    set("hickoryknot_run_time_samples", "Number of these runs", static_cast<double>(accuracy.runs));
    set("hickoryknot_worker_speed_slowest", "Learned speed of the slowest worker; 1 is usual", speeds.slowest);
    set("hickoryknot_worker_speed_fastest", "The same of the fastest worker", speeds.fastest);
    set("hickoryknot_run_time_summary_unreadable", "1 if this leadership could not read the recorded summary",
        scheduler.runTimeSummaryError() ? 1 : 0);
}

} // namespace

WorkflowHost::WorkflowHost(boost::asio::io_context& io, const WorkflowHostSettings& settings, HostMessageLinks& links,
    WorkerClient& workers, PermissionService* permission)
    : m_io(io)
    , m_settings(settings)
    , m_links(links)
    , m_workers(io, settings.self, links, workers)
    , m_workerProxy(io, settings.self, links, workers)
    , m_permissions(io, settings.self, permission)
    , m_scheduler(settings.scheduler, m_state, m_log)
    , m_storage({ .name = "storage", .ringCapacity = 64, .period = 1s }, [] {})
    , m_tickTimer(io)
    , m_cycleTimer(io)
{
}

WorkflowHost::~WorkflowHost()
{
    *m_isAlive = false;
    m_links.setHandler(HostMessageKind::Log, nullptr);
    m_storage.stop();
}

Expected<std::unique_ptr<WorkflowHost>> WorkflowHost::open(boost::asio::io_context& io,
    const WorkflowHostSettings& settings, HostMessageLinks& links, WorkerClient& workers, PermissionService* permission)
{
    std::unique_ptr<WorkflowHost> host(new WorkflowHost(io, settings, links, workers, permission));
    if (auto started = host->start(); !started)
        return tl::unexpected(started.error());
    return host;
}

Expected<void> WorkflowHost::start()
{
    const TimePoint now = steadyNow();
    const auto initialMembers = loadOrStoreInitialMembers(m_settings.dataFolder, m_settings.initialMembers);
    if (!initialMembers)
        return tl::unexpected(initialMembers.error());
    std::vector<InitialMember> members;
    for (const auto& host : *initialMembers)
        members.push_back({ host, true });
    // A joining host is not a voter until the group's leader adds it.
    if (initialMembers->empty())
        members = { { m_settings.self, false } };
    GroupRunnerSettings settings { .name = "workflows",
        .log = { .group = "workflows",
            .self = m_settings.self,
            .initialMembers = members,
            .seed = m_settings.seed,
            .timings = m_settings.timings,
            .snapshotInterval = snapshotInterval },
        .cell = "fleet",
        .folder = m_settings.dataFolder + "/log" };
    GroupRunner::Dependencies links {
        // Lost messages need no retry here: later messages of the log repeat their content.
        .send = [this](const HostId& to, const std::string&,
                    const std::string& bytes) { m_links.send(to, HostMessageKind::Log, bytes); },
        .postToControl =
            [this, alive = m_isAlive](std::function<void()> work) {
                boost::asio::post(m_io, [alive, work = std::move(work)] {
                    if (*alive)
                        work();
                });
            },
        .leadershipChanged
        = [this](bool isLeader, uint64_t term, TimePoint at) { onLeadershipChanged(isLeader, term, at); },
        .storage = m_storage,
    };
    auto runner = GroupRunner::open(settings, m_state, std::move(links), now);
    if (!runner)
        return tl::unexpected(runner.error());
    m_runner = std::move(*runner);
    m_storage.start();
    m_links.setHandler(HostMessageKind::Log, [this](std::string_view bytes) { m_runner->step(bytes, steadyNow()); });
    scheduleTick();
    return {};
}

bool WorkflowHost::isLeading() const { return m_scheduler.isLeader() && m_runner->group().hasLeaderLease(steadyNow()); }

void WorkflowHost::scheduleTick()
{
    m_tickTimer.expires_after(tickPeriod);
    m_tickTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        if (error || !*alive)
            return;
        const TimePoint now = steadyNow();
        m_runner->tick(now);
        m_log.tick(now);
        if (m_scheduler.isLeader() && now >= m_nextPeriodicCycle)
            runSchedulingCycle();
        if (m_scheduler.isLeader() && now >= m_nextMemberChange)
            reconcileMembers(now);
        scheduleTick();
    });
}

void WorkflowHost::onLeadershipChanged(bool isLeader, uint64_t term, TimePoint now)
{
    // The queued commands were not proposed, so none of them is executed. Batches in progress report their own result.
    for (const auto& pending : std::exchange(m_pendingReplies, {}))
        pending.respond(makeReply(ControlStatus::NotLeader, "leadership was lost before anything was recorded"));
    m_queuedCommands.clear();
    m_pendingAcceptances.clear();
    if (!isLeader) {
        m_workers.endLeadership();
        m_scheduler.resign();
        m_log.onLeadershipEnded();
        EventLog::write(EventLevel::Info, Event::LeadershipEnded, "this host is no longer leader",
            { { "term", std::to_string(term) } });
        return;
    }
    m_hosts.clear();
    for (const auto& member : m_runner->group().members()) {
        // Starts the contact timeout of all members now, so that unavailable ones are detected.
        TrackedHost& tracked = m_hosts[member.host];
        tracked.host = member.host;
        tracked.storeId = static_cast<uint64_t>(member.store);
        tracked.lastContactAt = now;
    }
    m_workers.beginLeadership(term);
    m_scheduler.becomeLeader(term, now, wallNow());
    const auto& summaryError = m_scheduler.runTimeSummaryError();
    EventLog::write(EventLevel::Info, Event::LeadershipTaken,
        "this host became leader and takes over the runs in progress",
        { { "term", std::to_string(term) }, { "runs", std::to_string(m_scheduler.runController().size()) },
            { "workers", std::to_string(m_state.workers().size()) },
            { "tableVersion", std::to_string(m_state.table().version) },
            { "learnedRunTimes", summaryError ? summaryError->message : "restored" } });
    scheduleCycle(Duration(0));
}

Duration WorkflowHost::batchDelay() const
{
    return m_scheduler.workerTracker().workers().size() > largeClusterWorkers ? largeClusterBatchDelay
                                                                              : smallClusterBatchDelay;
}

void WorkflowHost::scheduleCycle(Duration delay)
{
    const TimePoint cycleAt = steadyNow() + delay;
    if (cycleAt >= m_nextCycleAt)
        return;
    m_nextCycleAt = cycleAt;
    m_cycleTimer.expires_after(delay);
    m_cycleTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        if (!error && *alive)
            runSchedulingCycle();
    });
}

void WorkflowHost::runSchedulingCycle()
{
    const TimePoint now = steadyNow();
    const TimePoint dueAt = std::min(std::exchange(m_nextCycleAt, TimePoint::max()), now);
    m_nextPeriodicCycle = now + cyclePeriod;
    m_workers.setWorkerCount(m_scheduler.workerTracker().workers().size());
    if (!m_scheduler.isLeader() || !m_runner->group().hasLeaderLease(now))
        return;
    auto output = m_scheduler.advance(now, wallNow());
    auto commands = std::exchange(m_queuedCommands, {});
    commands.insert(commands.end(), std::make_move_iterator(output.commands.begin()),
        std::make_move_iterator(output.commands.end()));
    if (!commands.empty())
        propose(output.batch, commands);
    sendWorkerRequests(output.requests);
    requestPermissions(output.permissionRequests);
    m_log.onCycle(now - dueAt, steadyNow() - now);
}

void WorkflowHost::propose(uint64_t batch, const std::vector<WorkflowCommand>& commands)
{
    std::vector<std::pair<WorkflowId, QueueName>> acceptances;
    for (const auto& command : commands) {
        if (const auto* accept = std::get_if<AcceptWorkflow>(&command))
            acceptances.emplace_back(accept->id, accept->queue);
    }
    auto pendingReplies = std::make_shared<std::vector<PendingReply>>(std::exchange(m_pendingReplies, {}));
    m_runner->propose(encodeCommands(commands), steadyNow(),
        [this, alive = m_isAlive, batch, pendingReplies, acceptances](const Expected<std::string>& result) {
            if (!*alive)
                return;
            const bool isNotExecuted = !result && result.error().code == ErrorCode::NotLeader;
            for (const auto& [id, queue] : acceptances) {
                const auto acceptance = m_pendingAcceptances.find(id);
                if (acceptance == m_pendingAcceptances.end())
                    continue;
                if (result && m_state.find(id))
                    m_log.onAccepted(id, queue, steadyNow() - acceptance->second.submittedAt);
                // One of unknown outcome stays pending: the workflow may be known soon, so a rejection would be false.
                if (result || isNotExecuted)
                    m_pendingAcceptances.erase(acceptance);
            }
            for (const auto& pending : *pendingReplies) {
                if (result)
                    pending.respond(pending.makeReply());
                else
                    pending.respond(makeReply(
                        isNotExecuted ? ControlStatus::NotLeader : ControlStatus::Uncertain, result.error().message));
            }
            if (!result && m_scheduler.isLeader()) {
                // The outcome of these decisions is unknown here, so they can be neither applied nor discarded. A new
                // leader starts from the committed log.
                EventLog::write(EventLevel::Error, Event::LeadershipEnded,
                    "failed to commit a batch, transferring leadership: " + result.error().message);
                m_runner->transferLeadership(steadyNow());
            }
            if (!result)
                return;
            m_scheduler.onBatchCommitted(batch, steadyNow());
            scheduleCycle(batchDelay() / 4);
        });
}

void WorkflowHost::sendWorkerRequests(RunController::Requests& requests)
{
    // Leadership is checked before each request, since the process may have been paused at any point.
    for (auto& request : requests.polls) {
        const TimePoint sentAt = steadyNow();
        if (!isLeading()) {
            m_scheduler.onPollResponse(
                request, makeError(ErrorCode::NotLeader, "leadership is in doubt"), sentAt, sentAt);
            continue;
        }
        m_workers.poll(request, [this, alive = m_isAlive, request, sentAt](const Expected<PollResponse>& response) {
            if (!*alive)
                return;
            m_scheduler.onPollResponse(request, response, sentAt, steadyNow());
            scheduleCycle(batchDelay());
        });
    }
    for (auto& request : requests.stops) {
        const TimePoint sentAt = steadyNow();
        if (!isLeading()) {
            m_scheduler.onStopResponse(request, { .status = WorkerRequestStatus::NotSent }, sentAt, sentAt);
            continue;
        }
        m_workers.stop(request, [this, alive = m_isAlive, request, sentAt](const RunResponse& response) {
            if (!*alive)
                return;
            m_scheduler.onStopResponse(request, response, sentAt, steadyNow());
            scheduleCycle(batchDelay());
        });
    }
    for (auto& request : requests.starts) {
        const TimePoint sentAt = steadyNow();
        if (!isLeading()) {
            m_scheduler.onStartResponse(request, { .status = WorkerRequestStatus::NotSent }, sentAt, sentAt);
            continue;
        }
        m_workers.start(request, [this, alive = m_isAlive, request, sentAt](const RunResponse& response) {
            if (!*alive)
                return;
            if (response.status != WorkerRequestStatus::Done)
                EventLog::write(EventLevel::Warning, Event::OrderNotTaken, "a worker did not accept a start request",
                    { { "task", describe(request.run.task) }, { "run", std::to_string(request.run.run) },
                        { "worker", request.incarnation.worker.value() },
                        { "answer", workerRequestStatusName(response.status) } });
            m_scheduler.onStartResponse(request, response, sentAt, steadyNow());
            scheduleCycle(batchDelay());
        });
    }
}

void WorkflowHost::requestPermissions(const std::vector<PermissionRequest>& requests)
{
    for (const auto& request : requests) {
        const TimePoint requestedAt = steadyNow();
        m_permissions.request(request, requestedAt,
            [this, alive = m_isAlive, request, requestedAt](const Expected<PermissionResponse>& response) {
                if (!*alive)
                    return;
                if (response)
                    m_log.onPermissionResponse(
                        request.step, request.workers.size(), response->granted.size(), steadyNow() - requestedAt);
                else
                    EventLog::write(EventLevel::Warning, Event::PermissionFailed,
                        "the call to the permission service failed: " + response.error().message,
                        { { "step", describe(request.step) } });
                m_scheduler.onPermissionResponse(request, response, steadyNow());
                scheduleCycle(batchDelay());
            });
    }
}

void WorkflowHost::reconcileMembers(TimePoint now)
{
    m_nextMemberChange = now + memberChangeInterval;
    std::vector<const TrackedHost*> trackedHosts;
    for (auto& [host, tracked] : m_hosts) {
        if (host == m_settings.self)
            tracked.lastContactAt = now;
        trackedHosts.push_back(&tracked);
    }
    const MemberPolicySettings policy { .maxVoters = 2 * m_settings.toleratedLosses + 1,
        .replaceSilentAfter = replaceSilentAfter };
    const auto change = nextMemberChange(policy, m_settings.self, m_runner->group().members(), trackedHosts, now);
    if (!change)
        return;
    if (change->kind == MemberChange::Kind::Add)
        m_runner->addMember(change->host, change->isVoter, now);
    else
        m_runner->removeMember(change->host, now);
}

void WorkflowHost::transferLeadership() { m_runner->transferLeadership(steadyNow()); }

std::string WorkflowHost::metricsText() const
{
    Metrics metrics = m_log.metrics();
    metrics.set(metrics.gauge("hickoryknot_leads", "1 while this host leads"), isLeading() ? 1 : 0);
    metrics.set(metrics.gauge("hickoryknot_runs_placed", "Runs that may occupy a worker"),
        static_cast<double>(m_scheduler.runController().size()));
    metrics.set(metrics.gauge("hickoryknot_starts_unattributed",
                    "Starts whose acknowledgement did not show which incarnation executed them"),
        static_cast<double>(m_scheduler.runController().unattributedStarts()));
    metrics.set(metrics.gauge("hickoryknot_requests_copied", "Copies of overdue starts, stops and polls"),
        static_cast<double>(m_scheduler.runController().copiesSent()));
    metrics.set(metrics.gauge("hickoryknot_steps_ready", "Steps with tasks that wait for a worker"),
        static_cast<double>(m_scheduler.readyStepCount()));
    metrics.set(metrics.gauge("hickoryknot_log_index", "Last entry of the replicated log"),
        static_cast<double>(m_runner->group().lastIndex()));
    metrics.set(metrics.gauge("hickoryknot_log_bytes", "Payload of the entries of the replicated log in memory"),
        static_cast<double>(m_runner->group().logBytes()));
    metrics.set(metrics.gauge("hickoryknot_early_cancellations", "Recorded cancellations of unknown workflows"),
        static_cast<double>(m_state.earlyCancellations().size()));
    metrics.set(metrics.gauge("hickoryknot_table_version", "Version of the queue table"),
        static_cast<double>(m_state.table().version));
    // Only the leader counts what runs.
    if (isLeading())
        addOrganisationMetrics(metrics, m_scheduler.organisationStatus());
    addRunTimeMetrics(metrics, m_scheduler);
    return renderPrometheus(metrics);
}

HostHeartbeatCall WorkflowHost::makeHeartbeat()
{
    const auto& identity = m_runner->group().identity();
    return { .host = m_settings.self,
        .zone = m_settings.zone,
        .isReplica = true,
        .storeId = static_cast<uint64_t>(identity.store),
        .incarnation = m_settings.incarnation,
        .isWorkerProxy = true };
}

} // namespace hickoryknot
