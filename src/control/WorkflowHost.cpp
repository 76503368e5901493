#include "control/WorkflowHost.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "app/EventLog.h"
#include "app/MemberPolicy.h"
#include "app/SteadyTime.h"
#include "control/ControlPaths.h"
#include "control/FounderFile.h"
#include "control/HostAddress.h"
#include "core/Hash.h"
#include "report/PrometheusText.h"

namespace hickoryknot {

using namespace workflow;

namespace {

/// Between two looks at the clock of the log; a third of its heartbeat.
constexpr Duration tickPeriod = 25ms;
/// Between two looks at leases and repetitions when nothing else happens.
constexpr Duration advancePeriod = 25ms;
/// Work that comes within this time of each other shares a record and a plan; far less than a start takes.
constexpr Duration gatherTime = 4ms;
/// The same with many workers, where each plan and each record costs more and more comes in each millisecond.
constexpr Duration longGatherTime = 10ms;
constexpr size_t manyWorkers = 100;
/// A copy answers questions while the leader was heard this recently: a few heartbeats of its log.
constexpr Duration freshCopy = 200ms;
/// Between two changes of the members of the group.
constexpr Duration memberChangePause = 300ms;
/// A voter that is silent for this long is replaced by a live host with a disk, if there is one that does not vote. A
/// restart takes about a second, and after four the next loss must be borne.
constexpr Duration replaceSilentAfter = 2500ms;
/// Entries of the log between snapshots: writing one holds up the host for some milliseconds.
constexpr uint64_t snapshotEvery = 8192;

std::string_view trimmed(std::string_view rest)
{
    while (rest.ends_with('/'))
        rest.remove_suffix(1);
    return rest;
}

bool isWorkflowId(std::string_view text)
{
    constexpr size_t digits = 16;
    return text.size() == digits && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isdigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    });
}

} // namespace

WorkflowHost::WorkflowHost(boost::asio::io_context& io, const WorkflowHostSettings& settings, HostMessageLinks& links,
    WorkerClient& workers, PermissionService* permission)
    : m_io(io)
    , m_settings(settings)
    , m_links(links)
    , m_workers(io, settings.self, links, workers)
    , m_courier(io, settings.self, links, workers)
    , m_permits(io, settings.self, permission)
    , m_scheduler(settings.scheduler, m_state, m_log)
    , m_storage({ .name = "storage", .ringCapacity = 64, .period = 1s }, [] {})
    , m_tickTimer(io)
    , m_pumpTimer(io)
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
    const auto founders = rememberFounders(m_settings.dataFolder, m_settings.initialMembers);
    if (!founders)
        return tl::unexpected(founders.error());
    std::vector<InitialMember> members;
    for (const auto& host : *founders)
        members.push_back({ host, true });
    // A host that joins waits for the group's leader to list it; until then it counts for nothing.
    if (founders->empty())
        members = { { m_settings.self, false } };
    GroupRunnerSettings settings { .name = "workflows",
        .log = { .group = "workflows",
            .self = m_settings.self,
            .initialMembers = members,
            .seed = m_settings.seed,
            .timings = m_settings.timings,
            .snapshotEvery = snapshotEvery },
        .cell = "fleet",
        .folder = m_settings.dataFolder + "/log" };
    GroupRunner::Links links {
        // Later messages of the log repeat what a lost one said.
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
        = [this](bool isLeader, uint64_t term, TimePoint at) { leadershipChanged(isLeader, term, at); },
        .storage = m_storage,
    };
    auto runner = GroupRunner::open(settings, m_state, std::move(links), now);
    if (!runner)
        return tl::unexpected(runner.error());
    m_runner = std::move(*runner);
    m_storage.start();
    m_links.setHandler(HostMessageKind::Log, [this](std::string_view bytes) { m_runner->step(bytes, steadyNow()); });
    tickLater();
    return {};
}

bool WorkflowHost::isLeading() const
{
    return m_scheduler.isLeader() && m_runner->group().hasReadableLeadership(steadyNow());
}

void WorkflowHost::tickLater()
{
    m_tickTimer.expires_after(tickPeriod);
    m_tickTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        if (error || !*alive)
            return;
        const TimePoint now = steadyNow();
        m_runner->tick(now);
        m_log.tick(now);
        if (m_scheduler.isLeader() && now >= m_nextAdvance)
            pump();
        if (m_scheduler.isLeader() && now >= m_nextMemberChange)
            changeMembers(now);
        tickLater();
    });
}

void WorkflowHost::leadershipChanged(bool isLeader, uint64_t term, TimePoint now)
{
    // What was waiting for a record may or may not have been recorded.
    for (const auto& waiter : std::exchange(m_waiters, {}))
        waiter.respond(makeReply(ControlStatus::NotLeader, "leadership was lost before anything was recorded"));
    m_commands.clear();
    m_accepting.clear();
    if (!isLeader) {
        m_workers.end();
        m_scheduler.resign();
        EventLog::write(EventLevel::Info, Event::LeadershipEnded, "this host leads no longer",
            { { "term", std::to_string(term) } });
        return;
    }
    m_hosts.clear();
    for (const auto& member : m_runner->group().members()) {
        // Members count as heard now, so that those that stay silent are noticed.
        TrackedHost& view = m_hosts[member.host];
        view.host = member.host;
        view.storeId = static_cast<uint64_t>(member.store);
        view.lastContactAt = now;
    }
    m_workers.begin(term);
    m_scheduler.becomeLeader(term, now, wallNow());
    EventLog::write(EventLevel::Info, Event::LeadershipTaken, "this host leads and takes over what may run",
        { { "term", std::to_string(term) }, { "runs", std::to_string(m_scheduler.runController().size()) },
            { "workers", std::to_string(m_state.workers().size()) },
            { "tableVersion", std::to_string(m_state.table().version) } });
    schedulePump(Duration(0));
}

Duration WorkflowHost::gathering() const
{
    return m_scheduler.workerTracker().workers().size() > manyWorkers ? longGatherTime : gatherTime;
}

void WorkflowHost::schedulePump(Duration delay)
{
    const TimePoint due = steadyNow() + delay;
    if (due >= m_pumpDueAt)
        return;
    m_pumpDueAt = due;
    m_pumpTimer.expires_after(delay);
    m_pumpTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        if (!error && *alive)
            pump();
    });
}

void WorkflowHost::pump()
{
    m_pumpDueAt = TimePoint::max();
    const TimePoint now = steadyNow();
    m_nextAdvance = now + advancePeriod;
    m_workers.setWorkerCount(m_scheduler.workerTracker().workers().size());
    if (!m_scheduler.isLeader() || !m_runner->group().hasReadableLeadership(now))
        return;
    auto output = m_scheduler.advance(now, wallNow());
    auto commands = std::exchange(m_commands, {});
    commands.insert(commands.end(), std::make_move_iterator(output.commands.begin()),
        std::make_move_iterator(output.commands.end()));
    if (!commands.empty())
        propose(output.batch, commands);
    send(output.requests);
    askPermits(output.permissionRequests);
}

void WorkflowHost::propose(uint64_t batch, const std::vector<WorkflowCommand>& commands)
{
    std::vector<std::pair<WorkflowId, QueueName>> accepting;
    for (const auto& command : commands) {
        if (const auto* accept = std::get_if<AcceptWorkflow>(&command))
            accepting.emplace_back(accept->id, accept->queue);
    }
    auto waiters = std::make_shared<std::vector<Waiter>>(std::exchange(m_waiters, {}));
    m_runner->propose(encodeCommands(commands), steadyNow(),
        [this, alive = m_isAlive, batch, waiters, accepting](const Expected<std::string>& result) {
            if (!*alive)
                return;
            for (const auto& [id, queue] : accepting) {
                const auto since = m_accepting.find(id);
                if (since == m_accepting.end())
                    continue;
                if (result)
                    m_log.accepted(id, queue, steadyNow() - since->second);
                m_accepting.erase(since);
            }
            const bool isUndone = !result && result.error().code == ErrorCode::NotLeader;
            for (const auto& waiter : *waiters) {
                if (result)
                    waiter.respond(waiter.reply);
                else
                    waiter.respond(makeReply(
                        isUndone ? ControlStatus::NotLeader : ControlStatus::Uncertain, result.error().message));
            }
            if (!result && m_scheduler.isLeader()) {
                // Decisions that can be neither recorded nor forgotten; another leader starts from the record.
                EventLog::write(
                    EventLevel::Error, Event::LeadershipEnded, "a batch was not recorded: " + result.error().message);
                m_runner->handOver(steadyNow());
            }
            if (!result)
                return;
            m_scheduler.onBatchCommitted(batch, steadyNow());
            schedulePump(gathering() / 4);
        });
}

void WorkflowHost::send(RunController::Requests& orders)
{
    // Every order is preceded by a look at the leadership: this process may have been paused at any point before.
    for (auto& order : orders.polls) {
        const TimePoint sentAt = steadyNow();
        if (!isLeading()) {
            m_scheduler.onPollResponse(order, makeError(ErrorCode::Conflict, "leadership is in doubt"), sentAt, sentAt);
            continue;
        }
        m_workers.poll(order, [this, alive = m_isAlive, order, sentAt](const Expected<PollResponse>& answer) {
            if (!*alive)
                return;
            m_scheduler.onPollResponse(order, answer, sentAt, steadyNow());
            schedulePump(gathering());
        });
    }
    for (auto& order : orders.stops) {
        const TimePoint sentAt = steadyNow();
        if (!isLeading()) {
            m_scheduler.onStopResponse(order, { .status = WorkerRequestStatus::NotSent }, sentAt);
            continue;
        }
        m_workers.stop(order, [this, alive = m_isAlive, order](const RunResponse& answer) {
            if (!*alive)
                return;
            m_scheduler.onStopResponse(order, answer, steadyNow());
            schedulePump(gathering());
        });
    }
    for (auto& order : orders.starts) {
        if (!isLeading()) {
            m_scheduler.onStartResponse(order, { .status = WorkerRequestStatus::NotSent }, steadyNow());
            continue;
        }
        m_workers.start(order, [this, alive = m_isAlive, order](const RunResponse& answer) {
            if (!*alive)
                return;
            if (answer.status != WorkerRequestStatus::Done)
                EventLog::write(EventLevel::Warning, Event::OrderNotTaken, "a worker did not take a start",
                    { { "task", describe(order.run.task) }, { "run", std::to_string(order.run.run) },
                        { "worker", order.incarnation.worker.value() },
                        { "answer", workerRequestStatusName(answer.status) } });
            m_scheduler.onStartResponse(order, answer, steadyNow());
            schedulePump(gathering());
        });
    }
}

void WorkflowHost::askPermits(const std::vector<PermissionRequest>& requests)
{
    for (const auto& request : requests) {
        const TimePoint askedAt = steadyNow();
        m_permits.ask(
            request, askedAt, [this, alive = m_isAlive, request, askedAt](const Expected<PermissionResponse>& answer) {
                if (!*alive)
                    return;
                if (answer)
                    m_log.permissionAnswered(
                        request.step, request.workers.size(), answer->granted.size(), steadyNow() - askedAt);
                else
                    EventLog::write(EventLevel::Warning, Event::PermissionFailed,
                        "no answer of the permission service: " + answer.error().message,
                        { { "step", describe(request.step) } });
                m_scheduler.onPermissionResponse(request, answer, steadyNow());
                schedulePump(gathering());
            });
    }
}

ControlReply WorkflowHost::makeReply(ControlStatus verdict, std::string message) const
{
    ControlReply reply;
    reply.status = verdict;
    reply.message = std::move(message);
    if (verdict == ControlStatus::NotLeader) {
        const auto leader = m_runner->group().leader();
        if (leader && *leader != m_settings.self)
            reply.leader = *leader;
    }
    return reply;
}

void WorkflowHost::serve(const ControlCall& call, const Respond& respond)
{
    if (!isLeading()) {
        auto reply = makeReply(ControlStatus::NotLeader, "this host does not lead");
        for (const auto& member : m_runner->group().members())
            reply.replicas.push_back(member.host);
        return respond(std::move(reply));
    }
    const Respond tagged = [this, alive = m_isAlive, respond](ControlReply reply) {
        if (*alive && reply.status != ControlStatus::NotLeader) {
            reply.leader = m_settings.self;
            reply.tableVersion = m_state.table().version;
        }
        respond(std::move(reply));
    };
    std::visit([&](const auto& typed) { handle(typed, tagged); }, call);
}

std::optional<ControlReply> WorkflowHost::readFromReplica(const StatusCall& call) const
{
    const auto& group = m_runner->group();
    const bool isFresh = steadyNow() - group.lastLeaderContact() < freshCopy && group.appliedIndex() > 0;
    const QueueTable& table = m_state.table();
    if (!isFresh || !table.version || table.version < call.minTableVersion)
        return std::nullopt;
    const auto target = table.resolve(call.address.requestedHost, call.address.path);
    const WorkflowRecord* record
        = target && isWorkflowId(target->remainingPath) ? m_state.find(WorkflowId(target->remainingPath)) : nullptr;
    // What is missing here may be on its way.
    if (!record)
        return std::nullopt;
    auto reply = makeReply(ControlStatus::Done);
    reply.phase = record->phase;
    reply.hasStarted = record->hasStarted;
    reply.tableVersion = table.version;
    reply.leader = leader();
    return reply;
}

void WorkflowHost::record(WorkflowCommand command, const Respond& respond, ControlReply reply)
{
    m_commands.push_back(std::move(command));
    m_waiters.push_back({ respond, std::move(reply) });
    schedulePump(gathering());
}

void WorkflowHost::handle(const SubmitCall& call, const Respond& respond)
{
    if (!m_state.table().version)
        return respond(makeReply(ControlStatus::NotReady, "there is no queue table yet"));
    const auto target = m_state.table().resolve(call.address.requestedHost, call.address.path);
    if (!target)
        return respond(makeReply(ControlStatus::NoSuchQueue, "no queue has this host and path"));
    if (!isWorkflowId(target->remainingPath))
        return respond(makeReply(ControlStatus::Invalid, "the path does not end with an id of 16 hexadecimal digits"));
    const WorkflowId id(target->remainingPath);
    if (m_state.find(id))
        return respond(makeReply(ControlStatus::Done));
    if (auto checked = checkWorkflowSpec(call.spec); !checked)
        return respond(makeReply(ControlStatus::Invalid, checked.error().message));
    if (!m_accepting.contains(id)) {
        constexpr uint64_t spreadSteps = 100;
        const double spread = static_cast<double>(hashBytes(id.value()) % spreadSteps) / spreadSteps;
        if (const auto returnAfter = m_scheduler.checkAdmission(*target->queue, call.spec, spread, steadyNow())) {
            auto reply = makeReply(ControlStatus::Refused, "more work is waiting than can end in time");
            reply.retryAfter = *returnAfter;
            m_log.refused(id, target->queue->name, *returnAfter);
            return respond(std::move(reply));
        }
    }
    // A resend that meets its own acceptance on the way records it once more, which changes nothing.
    m_accepting.try_emplace(id, steadyNow());
    record(AcceptWorkflow { .id = id,
               .queue = target->queue->name,
               .pool = target->queue->pool,
               .maxAttempts = target->queue->maxAttempts,
               .spec = call.spec,
               .acceptedMs = wallNow().time_since_epoch() / 1ms },
        respond, makeReply(ControlStatus::Done));
}

void WorkflowHost::handle(const StatusCall& call, const Respond& respond)
{
    if (!m_state.table().version)
        return respond(makeReply(ControlStatus::NotReady, "there is no queue table yet"));
    const auto target = m_state.table().resolve(call.address.requestedHost, call.address.path);
    if (!target)
        return respond(makeReply(ControlStatus::NoSuchQueue, "no queue has this host and path"));
    auto reply = makeReply(ControlStatus::Done);
    if (trimmed(target->remainingPath).empty()) {
        reply.isQueue = true;
        reply.pending = m_scheduler.pendingWorkflows(target->queue->name);
        return respond(std::move(reply));
    }
    const WorkflowRecord* record = m_state.find(WorkflowId(target->remainingPath));
    if (!record)
        return respond(makeReply(ControlStatus::NoSuchWorkflow, "no such workflow"));
    reply.phase = record->phase;
    reply.hasStarted = record->hasStarted;
    respond(std::move(reply));
}

void WorkflowHost::handle(const CancelCall& call, const Respond& respond)
{
    if (!m_state.table().version)
        return respond(makeReply(ControlStatus::NotReady, "there is no queue table yet"));
    const auto target = m_state.table().resolve(call.address.requestedHost, call.address.path);
    if (!target)
        return respond(makeReply(ControlStatus::NoSuchQueue, "no queue has this host and path"));
    const WorkflowId id(target->remainingPath);
    const WorkflowRecord* known = m_state.find(id);
    if (!known && !m_accepting.contains(id))
        return respond(makeReply(ControlStatus::NoSuchWorkflow, "no such workflow"));
    if (known && !known->isActive())
        return respond(makeReply(ControlStatus::Done));
    m_log.cancelled(id);
    record(CancelWorkflow { .id = id }, respond, makeReply(ControlStatus::Done));
}

void WorkflowHost::handle(const ReplaceTableCall& call, const Respond& respond)
{
    if (auto checked = checkQueueTable(call.table); !checked) {
        EventLog::write(EventLevel::Warning, Event::TableChangeRefused, checked.error().message,
            { { "version", std::to_string(call.table.version) } });
        return respond(makeReply(ControlStatus::Invalid, checked.error().message));
    }
    if (call.table.version <= m_state.table().version)
        return respond(makeReply(ControlStatus::Done));
    EventLog::write(EventLevel::Info, Event::TableChanged, "a queue table is being recorded",
        { { "version", std::to_string(call.table.version) }, { "queues", std::to_string(call.table.queues.size()) } });
    record(ReplaceTable { .table = call.table }, respond, makeReply(ControlStatus::Done));
}

void WorkflowHost::handle(const ReadTableCall&, const Respond& respond)
{
    if (!m_state.table().version)
        return respond(makeReply(ControlStatus::NotReady, "there is no queue table yet"));
    auto reply = makeReply(ControlStatus::Done);
    reply.tableVersion = m_state.table().version;
    reply.text = m_state.table().document;
    respond(std::move(reply));
}

void WorkflowHost::handle(const WorkerReportCall& call, const Respond& respond)
{
    m_scheduler.onWorkerReport(call.report, steadyNow());
    // A confirmed report is heeded by every later leader too.
    if (m_scheduler.isRecorded(call.report))
        return respond(makeReply(ControlStatus::Done));
    m_waiters.push_back({ respond, makeReply(ControlStatus::Done) });
    schedulePump(gathering());
}

void WorkflowHost::handle(const WorkerLeaveCall& call, const Respond& respond)
{
    m_scheduler.onWorkerLeaving(call.worker, steadyNow());
    respond(makeReply(ControlStatus::Done));
}

void WorkflowHost::handle(const HostHeartbeatCall& call, const Respond& respond)
{
    const TimePoint now = steadyNow();
    if (call.canRequestPermissions && !call.isDraining)
        m_permits.helperHeard(call.host, now);
    if (call.isWorkerProxy && !call.isDraining)
        m_workers.courierHeard(call.host, now);
    if (call.isReplica) {
        TrackedHost& view = m_hosts[call.host];
        view.host = call.host;
        view.zone = call.zone;
        view.storeId = call.storeId;
        view.incarnation = call.incarnation;
        view.lastContactAt = now;
    }
    auto reply = makeReply(ControlStatus::Done);
    reply.leader = m_settings.self;
    reply.tableVersion = m_state.table().version;
    for (const auto& member : m_runner->group().members())
        reply.replicas.push_back(member.host);
    respond(std::move(reply));
}

void WorkflowHost::handle(const ExplainCall& call, const Respond& respond)
{
    auto reply = makeReply(ControlStatus::Done);
    reply.text = m_scheduler.explain(call.workflow, steadyNow(), wallNow());
    if (reply.text.empty())
        return respond(makeReply(ControlStatus::NoSuchWorkflow, "no such workflow"));
    respond(std::move(reply));
}

void WorkflowHost::changeMembers(TimePoint now)
{
    m_nextMemberChange = now + memberChangePause;
    std::vector<const TrackedHost*> views;
    for (auto& [host, view] : m_hosts) {
        if (host == m_settings.self)
            view.lastContactAt = now;
        views.push_back(&view);
    }
    const MemberPolicySettings policy { .maxVoters = 2 * m_settings.toleratedLosses + 1,
        .replaceSilentAfter = replaceSilentAfter };
    const auto change = nextMemberChange(policy, m_settings.self, m_runner->group().members(), views, now);
    if (!change)
        return;
    if (change->kind == MemberChange::Kind::Add)
        m_runner->addMember(change->host, change->isVoter, now);
    else
        m_runner->removeMember(change->host, now);
}

void WorkflowHost::transferLeadership() { m_runner->handOver(steadyNow()); }

std::string WorkflowHost::metricsText() const
{
    Metrics metrics = m_log.metrics();
    metrics.set(metrics.gauge("hickoryknot_leads", "1 while this host leads"), isLeading() ? 1 : 0);
    metrics.set(metrics.gauge("hickoryknot_runs_placed", "Runs that may occupy a worker"),
        static_cast<double>(m_scheduler.runController().size()));
    metrics.set(metrics.gauge("hickoryknot_steps_ready", "Steps with tasks that wait for a worker"),
        static_cast<double>(m_scheduler.readyStepCount()));
    metrics.set(metrics.gauge("hickoryknot_log_index", "Last entry of the replicated log"),
        static_cast<double>(m_runner->group().lastIndex()));
    metrics.set(metrics.gauge("hickoryknot_table_version", "Version of the queue table"),
        static_cast<double>(m_state.table().version));
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
