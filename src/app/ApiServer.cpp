#include "app/ApiServer.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

#include "app/ApiResponses.h"
#include "app/ControlPlane.h"
#include "app/ControlQueue.h"
#include "app/EventLog.h"
#include "app/NetworkLoop.h"
#include "app/ReportThread.h"
#include "app/RequestDispatcher.h"
#include "app/SteadyTime.h"
#include "net/DescriptorShares.h"
#include "net/MemoryBudget.h"
#include "protocol/CancelBatchCodec.h"
#include "protocol/ErrorCodec.h"
#include "protocol/ForwardedProposal.h"
#include "protocol/ForwardedProposalCodec.h"
#include "protocol/JobStatusCodec.h"
#include "protocol/JobSubmissionCodec.h"
#include "protocol/OutcomeCodec.h"
#include "protocol/PeerMessageCodec.h"
#include "protocol/PeerReplyCodec.h"
#include "protocol/ProposalResult.h"
#include "protocol/ProposalResultCodec.h"
#include "protocol/ProtocolLimits.h"
#include "protocol/RequestSubmissionCodec.h"
#include "protocol/ServerHeartbeatCodec.h"
#include "protocol/WorkerHeartbeatCodec.h"
#include "protocol/WorkerInstructionsCodec.h"
#include "routing/ZoneExchangeCodec.h"

namespace hickoryknot {

namespace {

/// Timeout for requests that another host can answer without waiting.
constexpr Duration forwardDeadline = 10s;
constexpr Duration gatherDeadline = 3s;
constexpr Duration maxJobWait = 600s;

/// Matches a path against a route, segment by segment; `argument` is set to the segment that matches `*`.
bool matches(std::string_view route, std::string_view path, std::string& argument)
{
    while (!route.empty() && !path.empty()) {
        const size_t routeEnd = std::min(route.find('/', 1), route.size());
        const size_t pathEnd = std::min(path.find('/', 1), path.size());
        const std::string_view routePart = route.substr(0, routeEnd);
        const std::string_view pathPart = path.substr(0, pathEnd);
        if (routePart == "/*")
            argument = pathPart.substr(1);
        else if (routePart != pathPart)
            return false;
        route.remove_prefix(routeEnd);
        path.remove_prefix(pathEnd);
    }
    return route.empty() && path.empty();
}

/// Calls between hosts, health probes and the reports of workers and servers have room of their own.
MemoryPool classify(std::string_view, std::string_view target)
{
    if (target.starts_with("/internal/") || target.starts_with("/v1/health"))
        return MemoryPool::Hosts;
    if (target.starts_with("/v1/workers/heartbeat") || target.starts_with("/v1/servers/heartbeat"))
        return MemoryPool::Workers;
    return MemoryPool::Clients;
}

std::string makeRequestId(const std::string& prefix)
{
    static uint64_t count = 0;
    const auto milliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(wallNow().time_since_epoch()).count();
    return prefix + "-" + std::to_string(milliseconds) + "-" + std::to_string(++count);
}

} // namespace

const ApiServer::Route ApiServer::routes[] = {
    { "POST", "/v1/requests", &ApiServer::handleRequest, true },
    { "POST", "/v1/jobs", &ApiServer::handleSubmitJob, true },
    { "POST", "/v1/jobs/cancel", &ApiServer::handleCancelBatch, false },
    { "GET", "/v1/jobs/*", &ApiServer::handleJobStatus, false },
    { "GET", "/v1/jobs/*/wait", &ApiServer::handleJobWait, false },
    { "GET", "/v1/jobs/*/explain", &ApiServer::handleJobExplain, false },
    { "POST", "/v1/jobs/*/cancel", &ApiServer::handleJobCancel, false },
    { "GET", "/v1/table", &ApiServer::handleTableGet, false },
    { "POST", "/v1/table/check", &ApiServer::handleTableCheck, false },
    { "POST", "/v1/table/set", &ApiServer::handleTableSet, true },
    { "POST", "/v1/workers/heartbeat", &ApiServer::handleWorkerHeartbeat, false },
    { "POST", "/v1/servers/heartbeat", &ApiServer::handleServerHeartbeat, false },
    { "GET", "/v1/hosts", &ApiServer::handleHosts, false },
    { "GET", "/v1/workers", &ApiServer::handleWorkers, false },
    { "GET", "/v1/servers", &ApiServer::handleServers, false },
    { "POST", "/v1/drain", &ApiServer::handleDrain, false },
    { "GET", "/v1/health", &ApiServer::handleHealth, false },
    { "GET", "/metrics", &ApiServer::handleMetrics, false },
    { "GET", "/v1/report/burn", &ApiServer::handleBurn, false },
    { "GET", "/internal/burn", &ApiServer::handleBurnBuckets, false },
    { "POST", "/internal/log/*", &ApiServer::handleLogMessage, false },
    { "POST", "/internal/propose/*", &ApiServer::handleProposal, false },
    { "POST", "/internal/peer", &ApiServer::handlePeer, false },
    { "POST", "/internal/zone", &ApiServer::handleZoneExchange, false },
    { "POST", "/internal/request", &ApiServer::handleForwardedRequest, true },
};

ApiServer::ApiServer(NetworkLoop& loop, const HostSettings& settings, HostClient& hostClient, ControlQueue& control,
    RequestDispatcher& requests, ReportThread& report, StartDrain startDrain)
    : m_loop(loop)
    , m_settings(settings)
    , m_hostClient(hostClient)
    , m_control(control)
    , m_requests(requests)
    , m_report(report)
    , m_startDrain(std::move(startDrain))
    , m_memory(std::make_shared<MemoryBudget>(memoryBudgetOf(settings.memoryMb << 20)))
    , m_server(loop.context(),
          HttpServerSettings { .listen = settings.listen,
              .maxBodyBytes = protocol_limits::maxInternalMessageBytes,
              .maxConnections
              = std::min(settings.maxConnections, shareDescriptors(descriptorLimit(0), DescriptorUse::Serve).clients),
              .memory = m_memory,
              .classifier = classify },
          [this](HttpRequest request, Responder respond) { dispatch(std::move(request), std::move(respond)); })
    , m_clientLimits(m_memory)
{
    m_clientLimits.addPort("api", [this] { return m_server.counters(); });
}

ApiServer::~ApiServer() = default;

void ApiServer::dispatch(HttpRequest request, Responder respond)
{
    const size_t queryStart = std::min(request.target.find('?'), request.target.size());
    const std::string path = request.target.substr(0, queryStart);
    Call call { .request = {},
        .argument = {},
        .query = request.target.substr(std::min(queryStart + 1, request.target.size())),
        .respond = std::move(respond) };

    bool isKnownPath = false;
    for (const auto& route : routes) {
        if (!matches(route.path, path, call.argument))
            continue;
        isKnownPath = true;
        if (route.method != request.method)
            continue;
        // Messages from callers have a lower size limit than those between hosts.
        if (!path.starts_with("/internal/") && request.body.size() > protocol_limits::maxMessageBytes) {
            call.respond(errorResponse({ ErrorCode::TooLarge,
                "the body has more than " + std::to_string(protocol_limits::maxMessageBytes) + " bytes" }));
            return;
        }
        if (route.isNewWork && m_rejectsNewWork) {
            call.respond(errorResponse(
                { ErrorCode::Draining, "this host takes no new work; send the request to another entry host" }));
            return;
        }
        call.request = std::move(request);
        (this->*route.handle)(call);
        return;
    }
    if (isKnownPath)
        call.respond(jsonResponse(
            encodeError({ ErrorCode::InvalidArgument, "method " + request.method + " is not allowed for " + path }),
            405));
    else
        call.respond(errorResponse({ ErrorCode::NotFound, "there is no " + path }));
}

void ApiServer::submitRequest(Call& call, bool isFromPeer)
{
    auto submission = decodeRequestSubmission(call.request.body);
    if (!isAccepted(call, submission))
        return;
    m_requests.submit(std::move(*submission), isFromPeer ? SubmitOrigin::Peer : SubmitOrigin::Caller, steadyNow(),
        [respond = std::move(call.respond)](const Outcome& outcome) { respond(jsonResponse(encodeOutcome(outcome))); });
}

void ApiServer::handleRequest(Call& call) { submitRequest(call, false); }

void ApiServer::handleForwardedRequest(Call& call) { submitRequest(call, true); }

void ApiServer::handleSubmitJob(Call& call)
{
    auto submission = decodeJobSubmission(call.request.body);
    if (!isAccepted(call, submission))
        return;
    postToControl(call.respond,
        [this, submission = std::move(*submission), respond = call.respond](
            ControlPlane& plane, TimePoint now, WallTime wall) {
            plane.jobs().submit(submission, now, wall, [this, respond](const Expected<Outcome>& outcome) {
                reply(respond, outcome ? jsonResponse(encodeOutcome(*outcome)) : errorResponse(outcome.error()));
            });
        });
}

template <typename T, typename Encode>
void ApiServer::replyOrRedirect(const Call& call, const Expected<T>& value, const std::optional<Redirect>& redirect,
    Duration deadline, Encode encode)
{
    HttpResponse localResponse = value ? jsonResponse(encode(*value)) : errorResponse(value.error());
    m_loop.post([this, call, redirect, deadline, localResponse = std::move(localResponse)] {
        std::optional<HostId> host;
        if (redirect)
            host = redirect->zone ? m_hostClient.hostOfZone(*redirect->zone) : m_hostClient.state().cellLeader;
        if (!host || *host == m_settings.host || HostClient::hops(call.request) >= HostClient::maxHops) {
            call.respond(localResponse);
            return;
        }
        // The local result is the fallback if the responsible host is unavailable.
        m_hostClient.forward(
            *host, call.request, deadline, [respond = call.respond, localResponse](const HttpResponse& response) {
                const bool isOwnerUnavailable = response.status == httpStatus(ErrorCode::Unavailable);
                respond(isOwnerUnavailable && localResponse.status == 200 ? localResponse : response);
            });
    });
}

void ApiServer::handleJobStatus(Call& call)
{
    postToControl(call.respond, [this, call](ControlPlane& plane, TimePoint, WallTime) {
        const auto result = plane.jobs().status(JobId(call.argument));
        replyOrRedirect(call, result.status, result.redirect, forwardDeadline, encodeJobStatus);
    });
}

void ApiServer::handleJobWait(Call& call)
{
    const std::string text = queryValue(call.query, "ms");
    uint64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const uint64_t maxMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(maxJobWait).count();
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || milliseconds > maxMilliseconds) {
        call.respond(errorResponse({ ErrorCode::InvalidArgument,
            "query parameter ms must be a whole number from 0 to " + std::to_string(maxMilliseconds) }));
        return;
    }
    const Duration wait = std::chrono::milliseconds(milliseconds);
    postToControl(call.respond, [this, call, wait](ControlPlane& plane, TimePoint now, WallTime) {
        plane.jobs().wait(
            JobId(call.argument), now + wait, now, [this, call, wait](const JobService::StatusResponse& result) {
                replyOrRedirect(call, result.status, result.redirect, wait + forwardDeadline, encodeJobStatus);
            });
    });
}

void ApiServer::handleJobExplain(Call& call)
{
    postToControl(call.respond, [this, call](ControlPlane& plane, TimePoint now, WallTime wall) {
        const auto result = plane.jobs().explain(JobId(call.argument), now, wall);
        replyOrRedirect(call, result.explanation, result.redirect, forwardDeadline, [&](const std::string& text) {
            return nlohmann::json { { "jobId", call.argument }, { "explanation", text } }.dump();
        });
    });
}

void ApiServer::cancelJobs(const Call& call, CancelBatch batch)
{
    postToControl(call.respond,
        [this, respond = call.respond, batch = std::move(batch)](ControlPlane& plane, TimePoint now, WallTime wall) {
            plane.jobs().cancel(
                batch, now, wall, [this, respond](const std::vector<JobService::CancelResult>& results) {
                    auto list = nlohmann::json::array();
                    for (const auto& result : results)
                        list.push_back({ { "jobId", result.job.value() }, { "result", result.result } });
                    reply(respond, jsonResponse(nlohmann::json { { "jobs", std::move(list) } }.dump()));
                });
        });
}

void ApiServer::handleJobCancel(Call& call)
{
    cancelJobs(call, { .request = RequestId(makeRequestId("cancel")), .jobs = { JobId(call.argument) } });
}

void ApiServer::handleCancelBatch(Call& call)
{
    auto batch = decodeCancelBatch(call.request.body);
    if (isAccepted(call, batch))
        cancelJobs(call, std::move(*batch));
}

void ApiServer::handleTableGet(Call& call)
{
    postToControl(call.respond, [this, respond = call.respond](ControlPlane& plane, TimePoint, WallTime) {
        reply(respond, jsonResponse(plane.table().get()));
    });
}

void ApiServer::handleTableCheck(Call& call)
{
    postToControl(call.respond, [this, call](ControlPlane& plane, TimePoint, WallTime) {
        const auto result = plane.table().check(call.request.body);
        reply(call.respond, result ? jsonResponse(*result) : errorResponse(result.error()));
    });
}

void ApiServer::handleTableSet(Call& call)
{
    postToControl(call.respond, [this, call](ControlPlane& plane, TimePoint now, WallTime wall) {
        plane.table().set(call.request.body, now, wall, [this, call](const TableService::Response& result) {
            replyOrRedirect(
                call, result.json, result.redirect, forwardDeadline, [](const std::string& json) { return json; });
        });
    });
}

void ApiServer::handleWorkerHeartbeat(Call& call)
{
    auto heartbeat = decodeWorkerHeartbeat(call.request.body);
    if (!isAccepted(call, heartbeat))
        return;
    const Duration deadline = heartbeat->wait + forwardDeadline;

    // Heartbeats are handled by the zone's leader; other hosts forward them.
    const auto owner = m_hostClient.hostOfZone(heartbeat->zone);
    const bool isHandledHere = heartbeat->zone == m_settings.zone && (!owner || *owner == m_settings.host);
    if (!isHandledHere) {
        if (!owner)
            call.respond(errorResponse(
                { ErrorCode::Unavailable, "zone " + heartbeat->zone.value() + " has no host that is known here" }));
        else
            m_hostClient.forward(*owner, call.request, deadline, call.respond);
        return;
    }
    postToControl(call.respond,
        [this, call, heartbeat = std::move(*heartbeat)](ControlPlane& plane, TimePoint now, WallTime wall) {
            plane.workers().onHeartbeat(
                heartbeat, now, wall, [this, call](const Expected<WorkerInstructions>& instructions) {
                    reply(call.respond,
                        instructions ? jsonResponse(encodeWorkerInstructions(*instructions))
                                     : errorResponse(instructions.error()));
                });
        });
}

void ApiServer::handleServerHeartbeat(Call& call)
{
    auto heartbeat = decodeServerHeartbeat(call.request.body);
    if (!isAccepted(call, heartbeat))
        return;
    if (heartbeat->zone == m_settings.zone) {
        m_requests.onServerHeartbeat(*heartbeat, steadyNow());
        call.respond(jsonResponse("{}"));
        return;
    }
    const auto host = m_hostClient.hostOfZone(heartbeat->zone);
    if (host)
        m_hostClient.forward(*host, call.request, forwardDeadline, call.respond);
    else
        call.respond(errorResponse(
            { ErrorCode::Unavailable, "zone " + heartbeat->zone.value() + " has no host that is known here" }));
}

void ApiServer::handleHosts(Call& call)
{
    postToControl(call.respond, [this, respond = call.respond](ControlPlane& plane, TimePoint now, WallTime) {
        reply(respond, jsonResponse(plane.hostsJson(now)));
    });
}

/// Collects lists from one host of each zone. Zones that do not respond are listed as missing, so that a partial list
/// can be recognised.
struct ApiServer::ZoneLists {
    std::string key;
    nlohmann::json items = nlohmann::json::array();
    nlohmann::json missingZones = nlohmann::json::array();
    size_t pendingResponses { 0 };
    Responder respond;

    void onZoneResponse(const ZoneId& zone, const std::string& list)
    {
        const auto document = nlohmann::json::parse(list, nullptr, false);
        const auto& found = document.is_object() && document.contains(key) ? document[key] : document;
        if (found.is_array())
            items.insert(items.end(), found.begin(), found.end());
        else
            missingZones.push_back(zone.value());
        if (!--pendingResponses)
            respond(jsonResponse(
                nlohmann::json { { key, std::move(items) }, { "missingZones", std::move(missingZones) } }.dump()));
    }
};

void ApiServer::gatherZoneLists(const Call& call, const char* key, const ListLocal& listLocal)
{
    auto lists = std::make_shared<ZoneLists>();
    lists->key = key;
    lists->respond = call.respond;
    lists->pendingResponses = 1;
    const bool isForwarded = HostClient::hops(call.request) > 0;
    if (!isForwarded) {
        std::set<ZoneId> zones;
        for (const auto& [host, address] : m_hostClient.state().hosts)
            zones.insert(address.zone);
        zones.erase(m_settings.zone);
        lists->pendingResponses += zones.size();
        for (const auto& zone : zones) {
            const auto host = m_hostClient.hostOfZone(zone);
            if (!host) {
                lists->onZoneResponse(zone, {});
                continue;
            }
            m_hostClient.forward(*host, call.request, gatherDeadline, [lists, zone](const HttpResponse& response) {
                lists->onZoneResponse(zone, response.status == 200 ? response.body : std::string());
            });
        }
    }
    listLocal([lists, zone = m_settings.zone](const std::string& list) { lists->onZoneResponse(zone, list); });
}

void ApiServer::handleWorkers(Call& call)
{
    // Only the zone's leader knows the current state of the workers; other hosts know only the recorded state.
    const auto leader = m_hostClient.state().zoneLeader;
    const bool isForwardedToLeader = HostClient::hops(call.request) == 1 && leader && *leader != m_settings.host;
    if (isForwardedToLeader) {
        m_hostClient.forward(*leader, call.request, gatherDeadline, call.respond);
        return;
    }
    gatherZoneLists(call, "workers", [this, call, leader](const ListCallback& done) {
        if (leader && *leader != m_settings.host && HostClient::hops(call.request) == 0) {
            m_hostClient.forward(
                *leader, call.request, gatherDeadline, [done](const HttpResponse& response) { done(response.body); });
            return;
        }
        const bool isPosted = m_control.tryPost([this, done](ControlPlane& plane, TimePoint, WallTime) {
            m_loop.post([done, list = plane.workers().listJson()] { done(list); });
        });
        if (!isPosted)
            done({});
    });
}

void ApiServer::handleServers(Call& call)
{
    gatherZoneLists(call, "servers", [this](const ListCallback& done) { done(m_requests.serversJson(steadyNow())); });
}

void ApiServer::handleDrain(Call& call)
{
    call.respond(jsonResponse(nlohmann::json { { "host", m_settings.host.value() },
        { "sentence",
            "Host " + m_settings.host.value()
                + " takes no new work and stops once its requests in progress are answered." } }
                                  .dump()));
    m_startDrain();
}

void ApiServer::handleHealth(Call& call)
{
    const auto& state = m_hostClient.state();
    const bool isServing = !m_rejectsNewWork;
    const nlohmann::json body {
        { "host", m_settings.host.value() },
        { "zone", m_settings.zone.value() },
        { "state", isServing ? "serving" : "draining" },
        { "tableVersion", state.tableVersion },
        { "holdsTableLease", state.tableLeaseEnd > steadyNow() },
        { "cellLeader", state.cellLeader ? state.cellLeader->value() : "" },
        { "zoneLeader", state.zoneLeader ? state.zoneLeader->value() : "" },
    };
    call.respond(jsonResponse(body.dump(), isServing ? 200 : httpStatus(ErrorCode::Draining)));
}

void ApiServer::handleLogMessage(Call& call)
{
    call.respond(jsonResponse("{}"));
    if (call.argument != "cell" && call.argument != "zone")
        return;
    // The sender repeats lost log messages.
    m_control.tryPost([group = call.argument, body = std::move(call.request.body)](
                          ControlPlane& plane, TimePoint now, WallTime) { plane.onLogMessage(group, body, now); });
}

void ApiServer::handleProposal(Call& call)
{
    auto proposal = decodeForwardedProposal(call.request.body);
    if (!isAccepted(call, proposal))
        return;
    if (call.argument != "cell" && call.argument != "zone") {
        call.respond(errorResponse({ ErrorCode::NotFound, "there is no log named " + call.argument }));
        return;
    }
    postToControl(
        call.respond, [this, call, proposal = std::move(*proposal)](ControlPlane& plane, TimePoint now, WallTime) {
            plane.onForwardedProposal(
                call.argument, proposal.payload, now, [this, call](const Expected<std::string>& result) {
                    reply(call.respond,
                        result ? jsonResponse(encodeProposalResult({ .index = 0, .result = *result }))
                               : errorResponse(result.error()));
                });
        });
}

void ApiServer::handlePeer(Call& call)
{
    auto message = decodePeerMessage(call.request.body);
    if (!isAccepted(call, message))
        return;
    postToControl(call.respond,
        [this, respond = call.respond, message = std::move(*message)](ControlPlane& plane, TimePoint now, WallTime) {
            reply(respond, jsonResponse(encodePeerReply(plane.peers().onPeerMessage(message, now))));
        });
}

void ApiServer::handleZoneExchange(Call& call)
{
    auto message = decodeZoneExchangeRequest(call.request.body);
    if (!isAccepted(call, message))
        return;
    if (message->zone != m_settings.zone) {
        call.respond(
            errorResponse({ ErrorCode::InvalidArgument, "this host belongs to zone " + m_settings.zone.value() }));
        return;
    }
    call.respond(jsonResponse(encodeZoneExchangeResponse(m_requests.onZoneExchange(*message, steadyNow()))));
}

template <typename T> bool ApiServer::isAccepted(const Call& call, const Expected<T>& message)
{
    if (message)
        return true;
    EventLog::write(EventLevel::Debug, Event::RequestRejected, message.error().message);
    call.respond(errorResponse(message.error()));
    return false;
}

void ApiServer::postToControl(const Responder& respond, std::function<void(ControlPlane&, TimePoint, WallTime)> work)
{
    if (!m_control.tryPost(std::move(work)))
        respond(errorResponse(
            { ErrorCode::Overloaded, "this host has too much to do; try again or ask another entry host" }));
}

void ApiServer::reply(const Responder& respond, HttpResponse response)
{
    m_loop.post([respond, response = std::move(response)] { respond(response); });
}

} // namespace hickoryknot
