#include "app/ApiServer.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

#include "app/ApiAnswers.h"
#include "app/ControlLink.h"
#include "app/ControlPlane.h"
#include "app/EventLog.h"
#include "app/NetworkLoop.h"
#include "app/ReportDuty.h"
#include "app/RequestPath.h"
#include "app/SteadyTime.h"
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

/// Longest time another host gets for an answer that it need not wait for itself.
constexpr Duration forwardDeadline = 10s;
constexpr Duration gatherDeadline = 3s;
constexpr Duration maxJobWait = 600s;

/// Compares a path with a route segment by segment; `argument` gets the segment under the `*`.
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

ApiServer::ApiServer(NetworkLoop& loop, const HostSettings& settings, HostLinks& links, ControlLink& control,
    RequestPath& requests, ReportDuty& report, StartDrain startDrain)
    : m_loop(loop)
    , m_settings(settings)
    , m_links(links)
    , m_control(control)
    , m_requests(requests)
    , m_report(report)
    , m_startDrain(std::move(startDrain))
    , m_server(loop.context(),
          HttpServerSettings { .listen = settings.listen,
              .maxBodyBytes = protocol_limits::maxInternalMessageBytes,
              .maxConnections = settings.maxConnections },
          [this](HttpRequest request, Responder respond) { dispatch(std::move(request), std::move(respond)); })
{
}

ApiServer::~ApiServer() = default;

void ApiServer::dispatch(HttpRequest request, Responder respond)
{
    const size_t question = std::min(request.target.find('?'), request.target.size());
    const std::string path = request.target.substr(0, question);
    Call call { .request = {},
        .argument = {},
        .query = request.target.substr(std::min(question + 1, request.target.size())),
        .respond = std::move(respond) };

    bool isKnownPath = false;
    for (const auto& route : routes) {
        if (!matches(route.path, path, call.argument))
            continue;
        isKnownPath = true;
        if (route.method != request.method)
            continue;
        // Outside messages have a lower limit than those between hosts.
        if (!path.starts_with("/internal/") && request.body.size() > protocol_limits::maxMessageBytes) {
            call.respond(errorResponse({ ErrorCode::TooLarge,
                "the body has more than " + std::to_string(protocol_limits::maxMessageBytes) + " bytes" }));
            return;
        }
        if (route.isNewWork && m_refusesNewWork) {
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

void ApiServer::answerRequest(Call& call, bool isFromPeer)
{
    auto submission = decodeRequestSubmission(call.request.body);
    if (!isAccepted(call, submission))
        return;
    m_requests.submit(std::move(*submission), isFromPeer ? SubmitOrigin::Peer : SubmitOrigin::Caller, steadyNow(),
        [respond = std::move(call.respond)](const Outcome& outcome) { respond(jsonResponse(encodeOutcome(outcome))); });
}

void ApiServer::handleRequest(Call& call) { answerRequest(call, false); }

void ApiServer::handleForwardedRequest(Call& call) { answerRequest(call, true); }

void ApiServer::handleSubmitJob(Call& call)
{
    auto submission = decodeJobSubmission(call.request.body);
    if (!isAccepted(call, submission))
        return;
    askControl(call.respond,
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
    HttpResponse own = value ? jsonResponse(encode(*value)) : errorResponse(value.error());
    m_loop.post([this, call, redirect, deadline, own = std::move(own)] {
        std::optional<HostId> host;
        if (redirect)
            host = redirect->zone ? m_links.hostOfZone(*redirect->zone) : m_links.state().cellLeader;
        if (!host || *host == m_settings.host || HostLinks::hops(call.request) >= HostLinks::maxHops) {
            call.respond(own);
            return;
        }
        // What is known here is the answer if the owner cannot be asked.
        m_links.forward(*host, call.request, deadline, [respond = call.respond, own](const HttpResponse& response) {
            const bool isOwnerSilent = response.status == httpStatus(ErrorCode::Unavailable);
            respond(isOwnerSilent && own.status == 200 ? own : response);
        });
    });
}

void ApiServer::handleJobStatus(Call& call)
{
    askControl(call.respond, [this, call](ControlPlane& plane, TimePoint, WallTime) {
        const auto answer = plane.jobs().status(JobId(call.argument));
        replyOrRedirect(call, answer.status, answer.redirect, forwardDeadline, encodeJobStatus);
    });
}

void ApiServer::handleJobWait(Call& call)
{
    const std::string text = queryValue(call.query, "ms");
    uint64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const uint64_t most = std::chrono::duration_cast<std::chrono::milliseconds>(maxJobWait).count();
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || milliseconds > most) {
        call.respond(errorResponse({ ErrorCode::InvalidArgument,
            "query parameter ms must be a whole number from 0 to " + std::to_string(most) }));
        return;
    }
    const Duration wait = std::chrono::milliseconds(milliseconds);
    askControl(call.respond, [this, call, wait](ControlPlane& plane, TimePoint now, WallTime) {
        plane.jobs().wait(
            JobId(call.argument), now + wait, now, [this, call, wait](const JobService::StatusAnswer& answer) {
                replyOrRedirect(call, answer.status, answer.redirect, wait + forwardDeadline, encodeJobStatus);
            });
    });
}

void ApiServer::handleJobExplain(Call& call)
{
    askControl(call.respond, [this, call](ControlPlane& plane, TimePoint now, WallTime wall) {
        const auto answer = plane.jobs().explain(JobId(call.argument), now, wall);
        replyOrRedirect(call, answer.explanation, answer.redirect, forwardDeadline, [&](const std::string& text) {
            return nlohmann::json { { "jobId", call.argument }, { "explanation", text } }.dump();
        });
    });
}

void ApiServer::cancelJobs(const Call& call, CancelBatch batch)
{
    askControl(call.respond,
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
    askControl(call.respond, [this, respond = call.respond](ControlPlane& plane, TimePoint, WallTime) {
        reply(respond, jsonResponse(plane.table().get()));
    });
}

void ApiServer::handleTableCheck(Call& call)
{
    askControl(call.respond, [this, call](ControlPlane& plane, TimePoint, WallTime) {
        const auto result = plane.table().check(call.request.body);
        reply(call.respond, result ? jsonResponse(*result) : errorResponse(result.error()));
    });
}

void ApiServer::handleTableSet(Call& call)
{
    askControl(call.respond, [this, call](ControlPlane& plane, TimePoint now, WallTime wall) {
        plane.table().set(call.request.body, now, wall, [this, call](const TableService::Answer& answer) {
            replyOrRedirect(
                call, answer.json, answer.redirect, forwardDeadline, [](const std::string& json) { return json; });
        });
    });
}

void ApiServer::handleWorkerHeartbeat(Call& call)
{
    auto heartbeat = decodeWorkerHeartbeat(call.request.body);
    if (!isAccepted(call, heartbeat))
        return;
    const Duration deadline = heartbeat->wait + forwardDeadline;

    // The zone's leader answers; any other host passes the heartbeat on.
    const auto owner = m_links.hostOfZone(heartbeat->zone);
    const bool isOwn = heartbeat->zone == m_settings.zone && (!owner || *owner == m_settings.host);
    if (!isOwn) {
        if (!owner)
            call.respond(errorResponse(
                { ErrorCode::Unavailable, "zone " + heartbeat->zone.value() + " has no host that is known here" }));
        else
            m_links.forward(*owner, call.request, deadline, call.respond);
        return;
    }
    askControl(call.respond,
        [this, call, heartbeat = std::move(*heartbeat)](ControlPlane& plane, TimePoint now, WallTime wall) {
            plane.workers().heartbeat(
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
        m_requests.serverHeard(*heartbeat, steadyNow());
        call.respond(jsonResponse("{}"));
        return;
    }
    const auto host = m_links.hostOfZone(heartbeat->zone);
    if (host)
        m_links.forward(*host, call.request, forwardDeadline, call.respond);
    else
        call.respond(errorResponse(
            { ErrorCode::Unavailable, "zone " + heartbeat->zone.value() + " has no host that is known here" }));
}

void ApiServer::handleHosts(Call& call)
{
    askControl(call.respond, [this, respond = call.respond](ControlPlane& plane, TimePoint now, WallTime) {
        reply(respond, jsonResponse(plane.hostsJson(now)));
    });
}

/// Collects lists from one host of each zone. Zones that do not answer are named, so that a short list is not taken for
/// all.
struct ApiServer::ZoneLists {
    std::string key;
    nlohmann::json items = nlohmann::json::array();
    nlohmann::json missingZones = nlohmann::json::array();
    size_t outstanding { 0 };
    Responder respond;

    void zoneAnswered(const ZoneId& zone, const std::string& list)
    {
        const auto document = nlohmann::json::parse(list, nullptr, false);
        const auto& found = document.is_object() && document.contains(key) ? document[key] : document;
        if (found.is_array())
            items.insert(items.end(), found.begin(), found.end());
        else
            missingZones.push_back(zone.value());
        if (!--outstanding)
            respond(jsonResponse(
                nlohmann::json { { key, std::move(items) }, { "missingZones", std::move(missingZones) } }.dump()));
    }
};

void ApiServer::listOfZones(const Call& call, const char* key, const OwnList& ownList)
{
    auto lists = std::make_shared<ZoneLists>();
    lists->key = key;
    lists->respond = call.respond;
    lists->outstanding = 1;
    const bool isForwarded = HostLinks::hops(call.request) > 0;
    if (!isForwarded) {
        std::set<ZoneId> zones;
        for (const auto& [host, address] : m_links.state().hosts)
            zones.insert(address.zone);
        zones.erase(m_settings.zone);
        lists->outstanding += zones.size();
        for (const auto& zone : zones) {
            const auto host = m_links.hostOfZone(zone);
            if (!host) {
                lists->zoneAnswered(zone, {});
                continue;
            }
            m_links.forward(*host, call.request, gatherDeadline, [lists, zone](const HttpResponse& response) {
                lists->zoneAnswered(zone, response.status == 200 ? response.body : std::string());
            });
        }
    }
    ownList([lists, zone = m_settings.zone](const std::string& list) { lists->zoneAnswered(zone, list); });
}

void ApiServer::handleWorkers(Call& call)
{
    // The leader of the zone knows how its workers are; other hosts only know the record.
    const auto leader = m_links.state().zoneLeader;
    const bool passesOn = HostLinks::hops(call.request) == 1 && leader && *leader != m_settings.host;
    if (passesOn) {
        m_links.forward(*leader, call.request, gatherDeadline, call.respond);
        return;
    }
    listOfZones(call, "workers", [this, call, leader](const TakeList& done) {
        if (leader && *leader != m_settings.host && HostLinks::hops(call.request) == 0) {
            m_links.forward(
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
    listOfZones(call, "servers", [this](const TakeList& done) { done(m_requests.serversJson(steadyNow())); });
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
    const auto& state = m_links.state();
    const bool isServing = !m_refusesNewWork;
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
    // A lost log message is sent again by its sender.
    m_control.tryPost([group = call.argument, body = std::move(call.request.body)](
                          ControlPlane& plane, TimePoint now, WallTime) { plane.logMessageArrived(group, body, now); });
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
    askControl(
        call.respond, [this, call, proposal = std::move(*proposal)](ControlPlane& plane, TimePoint now, WallTime) {
            plane.proposalArrived(
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
    askControl(call.respond,
        [this, respond = call.respond, message = std::move(*message)](ControlPlane& plane, TimePoint now, WallTime) {
            reply(respond, jsonResponse(encodePeerReply(plane.peers().heard(message, now))));
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
    call.respond(jsonResponse(encodeZoneExchangeResponse(m_requests.exchange(*message, steadyNow()))));
}

template <typename T> bool ApiServer::isAccepted(const Call& call, const Expected<T>& message)
{
    if (message)
        return true;
    EventLog::write(EventLevel::Debug, Event::RequestRejected, message.error().message);
    call.respond(errorResponse(message.error()));
    return false;
}

void ApiServer::askControl(const Responder& respond, std::function<void(ControlPlane&, TimePoint, WallTime)> work)
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
