// Handling of calls by callers, operators, workers and other hosts.

#include <algorithm>

#include "app/EventLog.h"
#include "app/SteadyTime.h"
#include "control/WorkflowHost.h"
#include "core/Hash.h"

namespace hickoryknot {

using namespace workflow;

namespace {

/// A follower serves reads if its last contact with the leader is this recent: a few heartbeats of the log.
constexpr Duration maxReplicaAge = 200ms;
/// Delay after which to repeat a cancellation that could not be recorded. Room appears only as earlier ones expire, so
/// a short delay would not help.
constexpr Duration fullRecordsRetryDelay = 10s;
constexpr const char* cancelledBefore = "the workflow was cancelled before it was submitted";

std::string_view withoutTrailingSlashes(std::string_view rest)
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

ControlReply WorkflowHost::makeReply(ControlStatus status, std::string message) const
{
    ControlReply reply;
    reply.status = status;
    reply.message = std::move(message);
    if (status == ControlStatus::NotLeader) {
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
    const Respond respondWithLeader = [this, alive = m_isAlive, respond](ControlReply reply) {
        if (*alive && reply.status != ControlStatus::NotLeader) {
            reply.leader = m_settings.self;
            reply.tableVersion = m_state.table().version;
        }
        respond(std::move(reply));
    };
    std::visit([&](const auto& typedCall) { handle(typedCall, respondWithLeader); }, call);
}

std::optional<ControlReply> WorkflowHost::readFromReplica(const StatusCall& call) const
{
    const auto& group = m_runner->group();
    const bool isFresh = steadyNow() - group.lastLeaderContact() < maxReplicaAge && group.appliedIndex() > 0;
    const QueueTable& table = m_state.table();
    if (!isFresh || !table.version || table.version < call.minTableVersion)
        return std::nullopt;
    const auto target = table.resolve(call.address.requestedHost, call.address.path);
    const WorkflowRecord* record
        = target && isWorkflowId(target->remainingPath) ? m_state.find(WorkflowId(target->remainingPath)) : nullptr;
    // The acceptance of a workflow that is missing here may not be replicated yet.
    if (!record)
        return std::nullopt;
    // The leader may have a newer table. It refuses the call if it has not.
    const auto caller = table.authenticate(*target->queue, call.address.key);
    if (!caller.isAuthorised
        || !table.mayAccess(
            target->queue->name, caller.organisation, { .queue = record->queue, .organisation = record->organisation }))
        return std::nullopt;
    auto reply = makeReply(ControlStatus::Done);
    reply.phase = record->phase;
    reply.hasStarted = record->hasStarted;
    reply.tableVersion = table.version;
    reply.leader = leader();
    return reply;
}

tl::expected<WorkflowHost::AuthorisedTarget, ControlReply> WorkflowHost::authorise(
    const CallerAddress& address, TimePoint now)
{
    const QueueTable& table = m_state.table();
    if (!table.version)
        return tl::unexpected(makeReply(ControlStatus::NotReady, "there is no queue table yet"));
    auto target = table.resolve(address.requestedHost, address.path);
    if (!target)
        return tl::unexpected(makeReply(ControlStatus::NoSuchQueue, "no queue has this host and path"));
    auto caller = table.authenticate(*target->queue, address.key);
    if (!caller.isAuthorised) {
        m_log.onUnauthorisedCall(target->queue->name, now);
        return tl::unexpected(makeReply(ControlStatus::Unauthorised, "the call has no valid key"));
    }
    return AuthorisedTarget { .target = std::move(*target), .organisation = std::move(caller.organisation) };
}

std::optional<WorkflowOwner> WorkflowHost::ownerOf(const WorkflowId& id) const
{
    if (const WorkflowRecord* record = m_state.find(id))
        return WorkflowOwner { .queue = record->queue, .organisation = record->organisation };
    const auto pending = m_pendingAcceptances.find(id);
    return pending == m_pendingAcceptances.end() ? std::nullopt : std::optional(pending->second.owner);
}

void WorkflowHost::enqueueCommand(
    WorkflowCommand command, const Respond& respond, std::function<ControlReply()> makeReplyAfterCommit)
{
    m_queuedCommands.push_back(std::move(command));
    m_pendingReplies.push_back({ respond, std::move(makeReplyAfterCommit) });
    scheduleCycle(batchDelay());
}

void WorkflowHost::handle(const SubmitCall& call, const Respond& respond)
{
    const auto caller = authorise(call.address, steadyNow());
    if (!caller)
        return respond(caller.error());
    const auto& [target, organisation] = *caller;
    if (!isWorkflowId(target.remainingPath))
        return respond(makeReply(ControlStatus::Invalid, "the path does not end with an id of 16 hexadecimal digits"));
    const WorkflowId id(target.remainingPath);
    if (const auto owner = ownerOf(id)) {
        if (!m_state.table().mayAccess(target.queue->name, organisation, *owner))
            return respond(makeReply(ControlStatus::IdTaken, "the id belongs to another organisation's workflow"));
        if (m_state.find(id))
            return respond(makeReply(ControlStatus::Done));
    }
    if (auto checked = checkWorkflowSpec(call.spec); !checked)
        return respond(makeReply(ControlStatus::Invalid, checked.error().message));
    // A rejection says that the workflow never runs, which is not certain while an earlier submission is being
    // committed.
    if (!m_pendingAcceptances.contains(id)) {
        if (m_scheduler.wasCancelledEarly(id, organisation, target.queue->name))
            return respond(makeReply(ControlStatus::NotReady, cancelledBefore));
        if (m_scheduler.isQueueBeingRemoved(target.queue->name))
            return respond(makeReply(ControlStatus::NotReady, "the queue is being removed from the table"));
        constexpr uint64_t jitterSteps = 100;
        const double jitter = static_cast<double>(hashBytes(id.value()) % jitterSteps) / jitterSteps;
        if (const auto rejection
            = m_scheduler.checkAdmission(*target.queue, organisation, call.spec, jitter, steadyNow())) {
            auto reply = makeReply(ControlStatus::Refused, rejection->message);
            reply.retryAfter = rejection->retryAfter;
            m_log.onRefused(id, target.queue->name, *rejection);
            return respond(std::move(reply));
        }
    }
    // If the acceptance is still being committed, a repeated submission commits it again, which changes nothing.
    const WorkflowOwner owner { .queue = target.queue->name, .organisation = organisation };
    m_pendingAcceptances.try_emplace(id, PendingAcceptance { .submittedAt = steadyNow(), .owner = owner });
    AcceptWorkflow command { .id = id,
        .queue = owner.queue,
        .pool = target.queue->pool,
        .maxAttempts = target.queue->maxAttempts,
        .spec = call.spec,
        .acceptedMs = wallNow().time_since_epoch() / 1ms,
        .organisation = organisation };
    m_scheduler.onAcceptanceProposed(command, steadyNow());
    enqueueCommand(std::move(command), respond, [this, id] {
        // A cancellation may have been committed first.
        return m_state.find(id) ? makeReply(ControlStatus::Done) : makeReply(ControlStatus::NotReady, cancelledBefore);
    });
}

void WorkflowHost::handle(const StatusCall& call, const Respond& respond)
{
    const auto caller = authorise(call.address, steadyNow());
    if (!caller)
        return respond(caller.error());
    const auto& [target, organisation] = *caller;
    auto reply = makeReply(ControlStatus::Done);
    if (withoutTrailingSlashes(target.remainingPath).empty()) {
        reply.isQueue = true;
        reply.pending = m_scheduler.pendingWorkflows(target.queue->name);
        return respond(std::move(reply));
    }
    const WorkflowId id(target.remainingPath);
    const WorkflowRecord* record = m_state.find(id);
    if (!record || !m_state.table().mayAccess(target.queue->name, organisation, *ownerOf(id)))
        return respond(makeReply(ControlStatus::NoSuchWorkflow, "no such workflow"));
    reply.phase = record->phase;
    reply.hasStarted = record->hasStarted;
    respond(std::move(reply));
}

void WorkflowHost::handle(const CancelCall& call, const Respond& respond)
{
    const auto caller = authorise(call.address, steadyNow());
    if (!caller)
        return respond(caller.error());
    const auto& [target, organisation] = *caller;
    const WorkflowId id(target.remainingPath);
    if (!isWorkflowId(id.value()))
        return respond(makeReply(ControlStatus::NoSuchWorkflow, "no such workflow"));
    const EarlyCancellation::Key key { .id = id, .organisation = organisation };
    const WorkflowRecord* existing = findFor(key, target.queue->name);
    // Also while an acceptance is being committed, since that may fail.
    if (!existing)
        return cancelUnknown(key, target.queue->name, respond);
    if (!existing->isActive()) {
        if (m_scheduler.keepEndedWorkflow(id, steadyNow()))
            return respond(makeReply(ControlStatus::Done));
        // The record will be gone when this command is applied.
        return cancelUnknown(key, target.queue->name, respond);
    }
    m_log.onCancelled(id);
    enqueueCommand(CancelWorkflow { .id = id }, respond, [this] { return makeReply(ControlStatus::Done); });
}

const WorkflowRecord* WorkflowHost::findFor(const EarlyCancellation::Key& key, const QueueName& queue) const
{
    const WorkflowRecord* record = m_state.find(key.id);
    const bool isAccessible = record
        && m_state.table().mayAccess(
            queue, key.organisation, { .queue = record->queue, .organisation = record->organisation });
    return isAccessible ? record : nullptr;
}

void WorkflowHost::cancelUnknown(const EarlyCancellation::Key& key, const QueueName& queue, const Respond& respond)
{
    if (m_scheduler.keepEarlyCancellation(key, steadyNow()))
        return respond(makeReply(ControlStatus::NoSuchWorkflow, "no such workflow"));
    CancelUnknownWorkflow command { .id = key.id, .queue = queue, .organisation = key.organisation };
    enqueueCommand(std::move(command), respond, [this, key, queue] {
        if (findFor(key, queue)) {
            m_log.onCancelled(key.id);
            return makeReply(ControlStatus::Done);
        }
        const bool isRecorded = m_state.earlyCancellations().contains(key);
        m_log.onUnknownCancelled(key, isRecorded);
        if (isRecorded)
            return makeReply(ControlStatus::NoSuchWorkflow, "no such workflow");
        auto reply = makeReply(ControlStatus::Refused, "too many cancellations of unknown workflows are recorded");
        reply.retryAfter = fullRecordsRetryDelay;
        return reply;
    });
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
    EventLog::write(EventLevel::Info, Event::TableChanged, "committing a new queue table",
        { { "version", std::to_string(call.table.version) }, { "queues", std::to_string(call.table.queues.size()) } });
    m_scheduler.onTableProposed(call.table);
    enqueueCommand(ReplaceTable { .table = call.table }, respond, [this] { return makeReply(ControlStatus::Done); });
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
    if (auto applied = m_scheduler.onWorkerReport(call.report, steadyNow()); !applied) {
        EventLog::write(EventLevel::Warning, Event::RequestRejected, applied.error().message,
            { { "worker", call.report.profile.incarnation.worker.value() } });
        const bool isInvalid = applied.error().code == ErrorCode::InvalidArgument;
        return respond(
            makeReply(isInvalid ? ControlStatus::Invalid : ControlStatus::NotReady, applied.error().message));
    }
    // The report is acknowledged only once it is committed, so that later leaders know it too.
    if (m_scheduler.isRecorded(call.report))
        return respond(makeReply(ControlStatus::Done));
    m_pendingReplies.push_back({ respond, [this] { return makeReply(ControlStatus::Done); } });
    scheduleCycle(batchDelay());
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
        m_permissions.onProxyHeartbeat(call.host, now);
    if (call.isWorkerProxy && !call.isDraining)
        m_workers.onProxyHeartbeat(call.host, now);
    if (call.isReplica) {
        TrackedHost& tracked = m_hosts[call.host];
        tracked.host = call.host;
        tracked.zone = call.zone;
        tracked.storeId = call.storeId;
        tracked.incarnation = call.incarnation;
        tracked.lastContactAt = now;
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

} // namespace hickoryknot
