#include "app/RequestDispatcher.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "app/ControlPlane.h"
#include "app/ControlQueue.h"
#include "app/EventLog.h"
#include "app/NetworkLoop.h"
#include "app/SteadyTime.h"
#include "core/Hash.h"
#include "protocol/ErrorCodec.h"
#include "protocol/OutcomeCodec.h"
#include "protocol/ProtocolLimits.h"
#include "protocol/RequestSubmissionCodec.h"
#include "protocol/WorkRequest.h"
#include "protocol/WorkRequestCodec.h"
#include "routing/ZoneExchangeCodec.h"
#include "state/CellCommand.h"
#include "state/CommandResult.h"
#include "state/ZoneCommand.h"

namespace hickoryknot {

namespace {

constexpr Duration exchangeInterval = 250ms;
constexpr Duration exchangeDeadline = 1s;
constexpr Duration refreshInterval = 250ms;
/// If an outcome is not recorded within this time, the home group records it as unknown.
constexpr Duration outcomeDeadline = 5s;
/// The exact number of free slots in other zones is not known; forwarding to a zone stops at its first `not run`.
constexpr uint32_t assumedFreeSlots = 64;
constexpr size_t maxSamples = 256;

/// The host index is the position among the configured hosts of the zone; hosts added later have none.
SlotLeaseHolderSettings makeSlotLeaseSettings(const HostSettings& settings)
{
    std::vector<HostId> hosts;
    for (const auto& address : settings.hosts) {
        if (address.zone == settings.zone)
            hosts.push_back(address.host);
    }
    std::sort(hosts.begin(), hosts.end());
    const auto own = std::find(hosts.begin(), hosts.end(), settings.host);
    return { .host = settings.host,
        .incarnation = settings.incarnation,
        .hostIndex = static_cast<uint32_t>(own - hosts.begin()),
        .hostCount = static_cast<uint32_t>(std::max<size_t>(1, hosts.size())) };
}

bool hasHeader(const HttpResponse& response, std::string_view name, std::string_view value)
{
    return std::any_of(response.headers.begin(), response.headers.end(), [&](const auto& header) {
        return header.second == value
            && std::equal(header.first.begin(), header.first.end(), name.begin(), name.end(),
                [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    });
}

/// Hash over the content of the submission except request id, attempt and deadline.
uint64_t requestContentHash(const RequestSubmission& request)
{
    RequestSubmission copy = request;
    copy.request = RequestId("content");
    copy.attempt = 1;
    copy.deadline = Duration(0);
    return hashBytes(encodeRequestSubmission(copy));
}

template <typename Command> std::string encodeForHome(const RequestSubmission& request, Command command)
{
    return request.homeZone ? encodeZoneCommand(std::move(command)) : encodeCellCommand(std::move(command));
}

/// Converts the home group's response to a start record for the router.
std::pair<StartRecordResult, Outcome> decodeStartResult(const Expected<std::string>& recorded)
{
    const auto result = recorded ? decodeCommandResult(*recorded) : tl::unexpected(recorded.error());
    if (!result)
        return { StartRecordResult::Unavailable, {} };
    if (std::holds_alternative<RequestStarted>(*result))
        return { StartRecordResult::Granted, {} };
    if (const auto* known = std::get_if<RequestKnown>(&*result)) {
        if (known->isRunning)
            return { StartRecordResult::Duplicate,
                Outcome { OutcomeKind::Unknown, "running",
                    "The request was started before and has no outcome yet. Ask again with the same request id.",
                    {} } };
        return { StartRecordResult::Duplicate, known->outcome };
    }
    if (const auto* error = std::get_if<Error>(&*result)) {
        const bool isOverload = error->code == ErrorCode::Overloaded;
        return { StartRecordResult::Duplicate,
            Outcome { isOverload ? OutcomeKind::NotRun : OutcomeKind::Refused, errorCodeName(error->code),
                error->message, {} } };
    }
    return { StartRecordResult::Unavailable, {} };
}

/// Decodes the outcome, or the error, returned by an entry host of another zone.
Expected<Outcome> decodeForwardedOutcome(const HttpResponse& response)
{
    if (response.status != 200)
        return tl::unexpected(decodeError(response.body));
    return decodeOutcome(response.body);
}

/// Draining and overloaded hosts reject a request before any part of it starts.
bool isRejectedBeforeStart(const Error& error)
{
    return error.code == ErrorCode::Draining || error.code == ErrorCode::Overloaded;
}

} // namespace

RequestDispatcher::RequestDispatcher(NetworkLoop& loop, const HostSettings& settings, HostClient& hostClient,
    ControlQueue& control, RecordStarts recordStarts)
    : m_loop(loop)
    , m_settings(settings)
    , m_hostClient(hostClient)
    , m_control(control)
    , m_recordStarts(std::move(recordStarts))
    , m_serverClient(loop.context(),
          HttpClientSettings { .maxConnectionsPerEndpoint = 60, .maxBodyBytes = protocol_limits::maxResponseBytes })
    , m_router(RouterSettings { .seed = settings.seed })
    , m_slotLease(makeSlotLeaseSettings(settings))
    , m_slotAllocator(SlotAllocatorSettings { .hostCount = makeSlotLeaseSettings(settings).hostCount })
    , m_timer(loop.context())
{
}

RequestDispatcher::~RequestDispatcher() = default;

void RequestDispatcher::setState(const PublishedState& state, TimePoint now)
{
    RouterActions actions;
    if (state.rows && state.tableVersion != m_tableVersion) {
        m_tableVersion = state.tableVersion;
        m_targetWaits.clear();
        for (const auto& row : *state.rows)
            m_targetWaits[row.name] = row.targetWait;
        m_router.setTable(*state.rows, state.tableVersion, now, actions);
    }
    m_router.setTableLease({ .expiry = state.tableLeaseEnd, .tableVersion = state.tableVersion }, now, actions);

    // maxRunning is divided by this host's rank among the live hosts; every host sorts the list in the same order.
    std::vector<HostId> live = state.liveHosts;
    std::sort(live.begin(), live.end());
    const auto own = std::find(live.begin(), live.end(), m_settings.host);
    m_router.setHostRank(
        static_cast<uint32_t>(own - live.begin()), static_cast<uint32_t>(std::max<size_t>(1, live.size())));

    // Requests for which this zone has no free slot are forwarded to reachable zones.
    std::vector<ForwardTarget> targets;
    for (const auto& host : live) {
        const auto found = state.hosts.find(host);
        if (found == state.hosts.end() || found->second.zone == m_settings.zone)
            continue;
        const bool isListed = std::any_of(
            targets.begin(), targets.end(), [&](const auto& target) { return target.zone == found->second.zone; });
        if (!isListed)
            targets.push_back({ found->second.zone, assumedFreeSlots });
    }
    m_router.setForwardTargets(std::move(targets));

    // This host grants slots while it leads the zone's group.
    if (state.zoneGranterTerm && state.zoneGranterTerm != m_granterTerm) {
        m_slotAllocator.startGranting(*state.zoneGranterTerm, now);
        m_slotAllocator.setServers(m_registry.servers(m_settings.zone));
    }
    if (!state.zoneGranterTerm && m_granterTerm && state.zoneLeader && *state.zoneLeader != m_settings.host)
        m_slotAllocator.stopGranting();
    else if (state.zoneGranterTerm)
        m_slotAllocator.renewLeaderLease(state.zoneRoundStartedAt);
    m_granterTerm = state.zoneGranterTerm ? state.zoneGranterTerm
                                          : (state.zoneLeader == m_settings.host ? m_granterTerm : std::nullopt);
    execute(actions);
}

void RequestDispatcher::submit(RequestSubmission submission, SubmitOrigin origin, TimePoint now, Reply reply)
{
    RouterActions actions;
    const RequestHandle handle = m_router.submit(std::move(submission), origin, now, actions);
    m_replies.emplace(handle, std::move(reply));
    execute(actions);
    scheduleTimer(now);
}

void RequestDispatcher::onServerHeartbeat(const ServerHeartbeat& heartbeat, TimePoint now)
{
    m_registry.onHeartbeat(heartbeat, Duration(0), now);
    // New and leaving servers are applied at once; a heartbeat that only renews a server waits for the next refresh.
    if (m_registry.revision() != m_registryRevision)
        refreshServers(now);
}

ZoneExchangeResponse RequestDispatcher::onZoneExchange(const ZoneExchangeRequest& message, TimePoint now)
{
    for (const auto& relayed : message.heartbeats)
        m_registry.onHeartbeat(relayed.heartbeat, relayed.age, now);
    if (m_registry.revision() != m_registryRevision)
        refreshServers(now);
    ZoneExchangeResponse reply;
    reply.heartbeats = m_registry.heartbeatsNewerThan(m_settings.zone, message.digest, now);
    if (message.slotRequest)
        reply.slotGrant = m_slotAllocator.handleRequest(*message.slotRequest, now);
    return reply;
}

void RequestDispatcher::tick(TimePoint now)
{
    m_registry.tick(now);
    reportServerEvents();
    if (now >= m_nextRefresh || m_registry.revision() != m_registryRevision)
        refreshServers(now);
    if (now >= m_nextExchange) {
        m_nextExchange = now + exchangeInterval;
        sendZoneExchange(now);
    }
    RouterActions actions;
    m_router.tick(now, actions);
    execute(actions);
    flushSamples();
}

void RequestDispatcher::startDraining() { m_router.startDraining(); }

void RequestDispatcher::refreshServers(TimePoint now)
{
    m_nextRefresh = now + refreshInterval;
    m_registryRevision = m_registry.revision();
    const auto servers = m_registry.servers(m_settings.zone);
    RouterActions actions;
    m_router.setServers(servers, now, actions);
    m_router.setShares(m_slotLease.shares(servers), m_slotLease.leasedUntil(), now, actions);
    m_slotAllocator.setServers(servers);
    execute(actions);
    scheduleTimer(now);
}

void RequestDispatcher::refreshShares(TimePoint now)
{
    RouterActions actions;
    m_router.setShares(
        m_slotLease.shares(m_registry.servers(m_settings.zone)), m_slotLease.leasedUntil(), now, actions);
    execute(actions);
}

void RequestDispatcher::sendZoneExchange(TimePoint now)
{
    const auto servers = m_registry.servers(m_settings.zone);
    const auto& state = m_hostClient.state();
    const SlotRequest slotRequest = m_slotLease.makeRequest(servers, m_router.serverUsage(), m_router.demand(), now);
    if (state.zoneLeader == m_settings.host) {
        if (const auto grant = m_slotAllocator.handleRequest(slotRequest, now); grant && m_slotLease.adopt(*grant, now))
            refreshShares(now);
    }
    for (const auto& [host, address] : state.hosts) {
        if (host == m_settings.host || address.zone != m_settings.zone)
            continue;
        ZoneExchangeRequest message;
        message.host = m_settings.host;
        message.zone = m_settings.zone;
        message.digest = m_registry.digest(m_settings.zone);
        message.freeSlots = m_router.freeSlots(now);
        if (state.zoneLeader == host)
            message.slotRequest = slotRequest;
        HttpRequest request {
            .method = "POST", .target = "/internal/zone", .headers = {}, .body = encodeZoneExchangeRequest(message)
        };
        m_hostClient.send(host, std::move(request), exchangeDeadline, [this](const HttpClientResult& result) {
            if (!result.response || result.response->status != 200)
                return;
            const auto reply = decodeZoneExchangeResponse(result.response->body);
            if (!reply)
                return;
            const TimePoint receivedAt = steadyNow();
            for (const auto& relayed : reply->heartbeats)
                m_registry.onHeartbeat(relayed.heartbeat, relayed.age + exchangeDeadline / 10, receivedAt);
            if (m_registry.revision() != m_registryRevision)
                refreshServers(receivedAt);
            if (reply->slotGrant && m_slotLease.adopt(*reply->slotGrant, receivedAt))
                refreshShares(receivedAt);
        });
    }
}

void RequestDispatcher::reportServerEvents()
{
    struct Description {
        EventLevel level;
        Event event;
        const char* sentence;
    };
    for (const auto& event : m_registry.drainEvents()) {
        Description description { EventLevel::Info, Event::ServerJoined, "a backend server may get work" };
        if (event.kind == ServerEventKind::Silent)
            description = { EventLevel::Warning, Event::ServerSilent,
                "a backend server missed its heartbeats and gets no new work" };
        if (event.kind == ServerEventKind::Leaving)
            description = { EventLevel::Info, Event::ServerLeaving, "a backend server leaves and gets no new work" };
        EventLog::write(
            description.level, description.event, description.sentence, { { "server", event.server.value() } });
    }
}

void RequestDispatcher::execute(RouterActions& actions)
{
    // Performing an action may call execute() again; each call uses its own vector.
    for (auto& action : actions)
        std::visit([this](const auto& typed) { perform(typed); }, action);
    actions.clear();
}

void RequestDispatcher::perform(const SendToServer& action)
{
    const TimePoint now = steadyNow();
    HttpRequest request { .method = "POST",
        .target = "/work",
        .headers = {},
        .body = encodeWorkRequest({ .request = action.request->request, .body = action.request->body }) };
    const Duration deadline = std::max<Duration>(1ms, action.deadline - now);
    m_serverClient.send({ action.address, action.port }, std::move(request), deadline,
        [this, handle = action.handle, attempt = action.attempt](HttpClientResult result) {
            const TimePoint receivedAt = steadyNow();
            RouterActions actions;
            if (result.response && result.response->status == 200)
                m_router.onServerResponse(handle, attempt, std::move(result.response->body), receivedAt, actions);
            else if (result.response && result.response->status == 503
                && hasHeader(*result.response, "X-Not-Started", "1"))
                m_router.onServerRejection(handle, attempt, receivedAt, actions);
            else
                m_router.onSendFailure(handle, attempt, result.wasSent, receivedAt, actions);
            execute(actions);
            scheduleTimer(receivedAt);
        });
}

void RequestDispatcher::perform(const RecordStart& action)
{
    const TimePoint now = steadyNow();
    const UnixMs nowMs = toUnixMs(wallNow());
    const auto& request = *action.request;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(action.deadline - now).count();
    std::string payload = encodeForHome(request,
        StartRequest { .request = request.request,
            .contentHash = requestContentHash(request),
            .host = m_settings.host,
            .deadlineMs = nowMs + std::max<int64_t>(0, remaining),
            .atMs = nowMs });
    const auto done = [this, handle = action.handle](const Expected<std::string>& recorded) {
        auto [startResult, outcome] = decodeStartResult(recorded);
        m_loop.post([this, handle, startResult = startResult, outcome = std::move(outcome)] {
            const TimePoint receivedAt = steadyNow();
            RouterActions actions;
            m_router.onStartRecordResult(handle, startResult, outcome, receivedAt, actions);
            execute(actions);
            scheduleTimer(receivedAt);
        });
    };
    // Proposing again after a lost response is safe: only the first proposal in the log for a request id is granted.
    const bool isPosted
        = m_control.tryPost([homeZone = request.homeZone, payload = std::move(payload), deadline = action.deadline,
                                done](ControlPlane& plane, TimePoint at, WallTime) {
              plane.proposeForRequest(homeZone, payload, Proposer::Repeat::Allowed, deadline, at, done);
          });
    if (!isPosted) {
        RouterActions actions;
        m_router.onStartRecordResult(action.handle, StartRecordResult::Unavailable, {}, now, actions);
        execute(actions);
    }
}

void RequestDispatcher::perform(const RecordOutcome& action)
{
    const auto& request = *action.request;
    std::string payload = encodeForHome(
        request, EndRequest { .request = request.request, .outcome = action.outcome, .atMs = toUnixMs(wallNow()) });
    const auto done = [this, handle = action.handle, isAwaited = action.isAwaited](const Expected<std::string>&) {
        if (!isAwaited)
            return;
        m_loop.post([this, handle] {
            RouterActions actions;
            m_router.onOutcomeRecordFinished(handle, steadyNow(), actions);
            execute(actions);
        });
    };
    const bool isPosted = m_control.tryPost(
        [homeZone = request.homeZone, payload = std::move(payload), done](ControlPlane& plane, TimePoint at, WallTime) {
            plane.proposeForRequest(homeZone, payload, Proposer::Repeat::Allowed, at + outcomeDeadline, at, done);
        });
    if (!isPosted && action.isAwaited) {
        RouterActions actions;
        m_router.onOutcomeRecordFinished(action.handle, steadyNow(), actions);
        execute(actions);
    }
}

void RequestDispatcher::perform(const ForwardToZone& action)
{
    const TimePoint now = steadyNow();
    const RequestHandle handle = action.handle;
    const auto host = m_hostClient.hostOfZone(action.zone);
    if (!host) {
        RouterActions actions;
        m_router.onForwardFailure(handle, false, now, actions);
        execute(actions);
        return;
    }
    RequestSubmission copy = *action.request;
    copy.deadline = std::max<Duration>(1ms, action.deadline - now);
    HttpRequest request {
        .method = "POST", .target = "/internal/request", .headers = {}, .body = encodeRequestSubmission(copy)
    };
    m_hostClient.send(*host, std::move(request), copy.deadline, [this, handle](const HttpClientResult& result) {
        const TimePoint receivedAt = steadyNow();
        RouterActions actions;
        const auto outcome = result.response ? decodeForwardedOutcome(*result.response)
                                             : Expected<Outcome>(tl::unexpected(result.response.error()));
        if (outcome)
            m_router.onForwardResponse(handle, *outcome, receivedAt, actions);
        else
            m_router.onForwardFailure(
                handle, result.wasSent && !isRejectedBeforeStart(outcome.error()), receivedAt, actions);
        execute(actions);
        scheduleTimer(receivedAt);
    });
}

void RequestDispatcher::perform(const RespondToCaller& action)
{
    const auto target = m_targetWaits.find(action.row);
    if (target != m_targetWaits.end() && (action.hasStarted || action.outcome.kind == OutcomeKind::NotRun)) {
        m_samples.push_back({ action.row, target->second, action.waited, action.hasStarted });
        if (m_samples.size() >= maxSamples)
            flushSamples();
    }
    const auto found = m_replies.find(action.handle);
    if (found == m_replies.end())
        return;
    const Reply reply = std::move(found->second);
    m_replies.erase(found);
    if (action.outcome.kind == OutcomeKind::Unknown)
        EventLog::write(EventLevel::Warning, Event::RequestUnknown, action.outcome.message,
            { { "reason", action.outcome.reason } });
    else if (action.outcome.kind == OutcomeKind::NotRun)
        EventLog::write(
            EventLevel::Debug, Event::RequestNotRun, action.outcome.message, { { "reason", action.outcome.reason } });
    reply(action.outcome);
}

void RequestDispatcher::scheduleTimer(TimePoint now)
{
    const auto next = m_router.nextTick();
    if (!next)
        return;
    m_timer.expires_after(std::max<Duration>(0us, *next - now));
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        const TimePoint at = steadyNow();
        RouterActions actions;
        m_router.tick(at, actions);
        execute(actions);
        scheduleTimer(at);
    });
}

void RequestDispatcher::flushSamples()
{
    if (m_samples.empty())
        return;
    m_recordStarts(std::move(m_samples));
    m_samples.clear();
}

std::string RequestDispatcher::serversJson(TimePoint now) const
{
    static constexpr const char* statusNames[] = { "fresh", "silent", "leaving" };
    std::map<ServerId, uint32_t> running;
    for (const auto& use : m_router.serverUsage())
        running[use.server] += use.running;
    auto list = nlohmann::json::array();
    for (const auto& view : m_registry.servers(m_settings.zone)) {
        list.push_back({
            { "server", view.server.value() },
            { "zone", m_settings.zone.value() },
            { "address", view.address + ":" + std::to_string(view.port) },
            { "state", statusNames[static_cast<size_t>(m_registry.status(view.server, now))] },
            { "slots", view.slots },
            { "connections", view.connectionLimit },
            { "inFlight", running[view.server] },
        });
    }
    return list.dump();
}

} // namespace hickoryknot
