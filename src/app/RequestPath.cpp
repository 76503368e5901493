#include "app/RequestPath.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "app/ControlLink.h"
#include "app/ControlPlane.h"
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
/// An outcome that cannot be recorded in this time is recorded as unknown by the home.
constexpr Duration outcomeDeadline = 5s;
/// Free slots of other zones are not known exactly; the first answer `not run` of a zone ends the forwarding.
constexpr uint32_t assumedFreeSlots = 64;
constexpr size_t maxSamples = 256;

/// Position of this host among the configured hosts of its zone; hosts that came later have none.
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

/// Hash over what the caller wrote except request id and attempt.
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

/// What the home group's answer to a start means to the router.
std::pair<StartRecordResult, Outcome> readVerdict(const Expected<std::string>& recorded)
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

/// The outcome that an entry host of another zone gave, or its error.
Expected<Outcome> readForwardedOutcome(const HttpResponse& response)
{
    if (response.status != 200)
        return tl::unexpected(decodeError(response.body));
    return decodeOutcome(response.body);
}

/// A host that drains or has too much to do refuses a request before anything of it starts.
bool isRefusedBeforeStart(const Error& error)
{
    return error.code == ErrorCode::Draining || error.code == ErrorCode::Overloaded;
}

} // namespace

RequestPath::RequestPath(
    NetworkLoop& loop, const HostSettings& settings, HostLinks& links, ControlLink& control, RecordStarts recordStarts)
    : m_loop(loop)
    , m_settings(settings)
    , m_links(links)
    , m_control(control)
    , m_recordStarts(std::move(recordStarts))
    , m_serverClient(loop.context(),
          HttpClientSettings { .maxConnectionsPerEndpoint = 60, .maxBodyBytes = protocol_limits::maxAnswerBytes })
    , m_router(RouterSettings { .seed = settings.seed })
    , m_slotLease(makeSlotLeaseSettings(settings))
    , m_slotShares(SlotAllocatorSettings { .hostCount = makeSlotLeaseSettings(settings).hostCount })
    , m_timer(loop.context())
{
}

RequestPath::~RequestPath() = default;

void RequestPath::setState(const PublishedState& state, TimePoint now)
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

    // This host's rank among the live hosts splits maxRunning; the list is sorted on every host.
    std::vector<HostId> live = state.liveHosts;
    std::sort(live.begin(), live.end());
    const auto own = std::find(live.begin(), live.end(), m_settings.host);
    m_router.setHostRank(
        static_cast<uint32_t>(own - live.begin()), static_cast<uint32_t>(std::max<size_t>(1, live.size())));

    // Other zones that can be reached take requests that the own zone has no slot for.
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

    // Grants slots while this host leads the zone's group.
    if (state.zoneGranterTerm && state.zoneGranterTerm != m_granterTerm) {
        m_slotShares.startGranting(*state.zoneGranterTerm, now);
        m_slotShares.setServers(m_registry.servers(m_settings.zone));
    }
    if (!state.zoneGranterTerm && m_granterTerm && state.zoneLeader && *state.zoneLeader != m_settings.host)
        m_slotShares.stopGranting();
    else if (state.zoneGranterTerm)
        m_slotShares.renewLeaderLease(state.zoneRoundStartedAt);
    m_granterTerm = state.zoneGranterTerm ? state.zoneGranterTerm
                                          : (state.zoneLeader == m_settings.host ? m_granterTerm : std::nullopt);
    run(actions);
}

void RequestPath::submit(RequestSubmission submission, SubmitOrigin origin, TimePoint now, Reply reply)
{
    RouterActions actions;
    const RequestHandle ticket = m_router.submit(std::move(submission), origin, now, actions);
    m_replies.emplace(ticket, std::move(reply));
    run(actions);
    armTimer(now);
}

void RequestPath::serverHeard(const ServerHeartbeat& heartbeat, TimePoint now)
{
    m_registry.onHeartbeat(heartbeat, Duration(0), now);
    // A leaving or new server changes what may be used at once; freshness alone waits for the next refresh.
    if (m_registry.revision() != m_registryRevision)
        refreshServers(now);
}

ZoneExchangeResponse RequestPath::exchange(const ZoneExchangeRequest& message, TimePoint now)
{
    for (const auto& relayed : message.heartbeats)
        m_registry.onHeartbeat(relayed.heartbeat, relayed.age, now);
    if (m_registry.revision() != m_registryRevision)
        refreshServers(now);
    ZoneExchangeResponse reply;
    reply.heartbeats = m_registry.heartbeatsNewerThan(m_settings.zone, message.digest, now);
    if (message.slotRequest)
        reply.slotGrant = m_slotShares.handleRequest(*message.slotRequest, now);
    return reply;
}

void RequestPath::tick(TimePoint now)
{
    m_registry.tick(now);
    reportServerEvents();
    if (now >= m_nextRefresh || m_registry.revision() != m_registryRevision)
        refreshServers(now);
    if (now >= m_nextExchange) {
        m_nextExchange = now + exchangeInterval;
        exchangeWithZone(now);
    }
    RouterActions actions;
    m_router.tick(now, actions);
    run(actions);
    flushSamples();
}

void RequestPath::startDraining() { m_router.startDraining(); }

void RequestPath::refreshServers(TimePoint now)
{
    m_nextRefresh = now + refreshInterval;
    m_registryRevision = m_registry.revision();
    const auto views = m_registry.servers(m_settings.zone);
    RouterActions actions;
    m_router.setServers(views, now, actions);
    m_router.setShares(m_slotLease.shares(views), m_slotLease.leasedUntil(), now, actions);
    m_slotShares.setServers(views);
    run(actions);
    armTimer(now);
}

void RequestPath::refreshShares(TimePoint now)
{
    RouterActions actions;
    m_router.setShares(
        m_slotLease.shares(m_registry.servers(m_settings.zone)), m_slotLease.leasedUntil(), now, actions);
    run(actions);
}

void RequestPath::exchangeWithZone(TimePoint now)
{
    const auto views = m_registry.servers(m_settings.zone);
    const auto& state = m_links.state();
    const SlotRequest ask = m_slotLease.makeRequest(views, m_router.serverUsage(), m_router.demand(), now);
    if (state.zoneLeader == m_settings.host) {
        if (const auto grant = m_slotShares.handleRequest(ask, now); grant && m_slotLease.adopt(*grant, now))
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
            message.slotRequest = ask;
        HttpRequest request {
            .method = "POST", .target = "/internal/zone", .headers = {}, .body = encodeZoneExchangeRequest(message)
        };
        m_links.send(host, std::move(request), exchangeDeadline, [this](const HttpClientResult& result) {
            if (!result.response || result.response->status != 200)
                return;
            const auto reply = decodeZoneExchangeResponse(result.response->body);
            if (!reply)
                return;
            const TimePoint answeredAt = steadyNow();
            for (const auto& relayed : reply->heartbeats)
                m_registry.onHeartbeat(relayed.heartbeat, relayed.age + exchangeDeadline / 10, answeredAt);
            if (m_registry.revision() != m_registryRevision)
                refreshServers(answeredAt);
            if (reply->slotGrant && m_slotLease.adopt(*reply->slotGrant, answeredAt))
                refreshShares(answeredAt);
        });
    }
}

void RequestPath::reportServerEvents()
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

void RequestPath::run(RouterActions& actions)
{
    // Carrying out an action may lead to calls that run actions of their own; each has a vector of its own.
    for (auto& action : actions)
        std::visit([this](const auto& typed) { perform(typed); }, action);
    actions.clear();
}

void RequestPath::perform(const SendToServer& action)
{
    const TimePoint now = steadyNow();
    HttpRequest request { .method = "POST",
        .target = "/work",
        .headers = {},
        .body = encodeWorkRequest({ .request = action.request->request, .body = action.request->body }) };
    const Duration deadline = std::max<Duration>(1ms, action.deadline - now);
    m_serverClient.send({ action.address, action.port }, std::move(request), deadline,
        [this, ticket = action.handle, attempt = action.attempt](HttpClientResult result) {
            const TimePoint answeredAt = steadyNow();
            RouterActions actions;
            if (result.response && result.response->status == 200)
                m_router.onServerResponse(ticket, attempt, std::move(result.response->body), answeredAt, actions);
            else if (result.response && result.response->status == 503
                && hasHeader(*result.response, "X-Not-Started", "1"))
                m_router.onServerRejection(ticket, attempt, answeredAt, actions);
            else
                m_router.onSendFailure(ticket, attempt, result.wasSent, answeredAt, actions);
            run(actions);
            armTimer(answeredAt);
        });
}

void RequestPath::perform(const RecordStart& action)
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
    const auto done = [this, ticket = action.handle](const Expected<std::string>& recorded) {
        auto [verdict, outcome] = readVerdict(recorded);
        m_loop.post([this, ticket, verdict = verdict, outcome = std::move(outcome)] {
            const TimePoint answeredAt = steadyNow();
            RouterActions actions;
            m_router.onStartRecordResult(ticket, verdict, outcome, answeredAt, actions);
            run(actions);
            armTimer(answeredAt);
        });
    };
    // Proposing again after a lost answer is safe: of all proposals for one id only the first in the log is granted.
    const bool isPosted
        = m_control.tryPost([homeZone = request.homeZone, payload = std::move(payload), deadline = action.deadline,
                                done](ControlPlane& plane, TimePoint at, WallTime) {
              plane.proposeForRequest(homeZone, payload, Proposer::Repeat::Allowed, deadline, at, done);
          });
    if (!isPosted) {
        RouterActions actions;
        m_router.onStartRecordResult(action.handle, StartRecordResult::Unavailable, {}, now, actions);
        run(actions);
    }
}

void RequestPath::perform(const RecordOutcome& action)
{
    const auto& request = *action.request;
    std::string payload = encodeForHome(
        request, EndRequest { .request = request.request, .outcome = action.outcome, .atMs = toUnixMs(wallNow()) });
    const auto done = [this, ticket = action.handle, isAwaited = action.isAwaited](const Expected<std::string>&) {
        if (!isAwaited)
            return;
        m_loop.post([this, ticket] {
            RouterActions actions;
            m_router.onOutcomeRecordFinished(ticket, steadyNow(), actions);
            run(actions);
        });
    };
    const bool isPosted = m_control.tryPost(
        [homeZone = request.homeZone, payload = std::move(payload), done](ControlPlane& plane, TimePoint at, WallTime) {
            plane.proposeForRequest(homeZone, payload, Proposer::Repeat::Allowed, at + outcomeDeadline, at, done);
        });
    if (!isPosted && action.isAwaited) {
        RouterActions actions;
        m_router.onOutcomeRecordFinished(action.handle, steadyNow(), actions);
        run(actions);
    }
}

void RequestPath::perform(const ForwardToZone& action)
{
    const TimePoint now = steadyNow();
    const RequestHandle ticket = action.handle;
    const auto host = m_links.hostOfZone(action.zone);
    if (!host) {
        RouterActions actions;
        m_router.onForwardFailure(ticket, false, now, actions);
        run(actions);
        return;
    }
    RequestSubmission copy = *action.request;
    copy.deadline = std::max<Duration>(1ms, action.deadline - now);
    HttpRequest request {
        .method = "POST", .target = "/internal/request", .headers = {}, .body = encodeRequestSubmission(copy)
    };
    m_links.send(*host, std::move(request), copy.deadline, [this, ticket](const HttpClientResult& result) {
        const TimePoint answeredAt = steadyNow();
        RouterActions actions;
        const auto outcome = result.response ? readForwardedOutcome(*result.response)
                                             : Expected<Outcome>(tl::unexpected(result.response.error()));
        if (outcome)
            m_router.onForwardResponse(ticket, *outcome, answeredAt, actions);
        else
            m_router.onForwardFailure(
                ticket, result.wasSent && !isRefusedBeforeStart(outcome.error()), answeredAt, actions);
        run(actions);
        armTimer(answeredAt);
    });
}

void RequestPath::perform(const RespondToCaller& action)
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

void RequestPath::armTimer(TimePoint now)
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
        run(actions);
        armTimer(at);
    });
}

void RequestPath::flushSamples()
{
    if (m_samples.empty())
        return;
    m_recordStarts(std::move(m_samples));
    m_samples.clear();
}

std::string RequestPath::serversJson(TimePoint now) const
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
