#include "Fleet.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "Cell.h"
#include "app/SteadyTime.h"
#include "net/EndpointText.h"

namespace hickoryknot::review {

using nlohmann::json;

namespace {

constexpr int minionGroup = 2;
constexpr Duration heartbeat = 1500ms;
/// Within `stopMs` of 900.
constexpr Duration stopTime = 700ms;
constexpr int64_t holdMaxMs = 10'000;
constexpr size_t endsPerList = 500;
/// A call of a minion that isn't acknowledged within this time goes to the next node.
constexpr Duration reportTimeout = 1s;

HttpResponse answer(int status, const json& body) { return { .status = status, .body = body.dump() }; }

} // namespace

struct Fleet::Run {
    uint32_t run { 0 };
    size_t ledger { 0 };
    TimePoint endsAt;
    bool fails { false };
    bool isStopping { false };
};

struct Fleet::Minion {
    struct End {
        uint64_t number;
        std::string task;
        uint32_t run;
        std::string how;
        size_t ledger;
    };
    struct Poll {
        uint64_t lastSeen;
        TimePoint until;
        HttpServer::Responder respond;
    };

    std::string id;
    std::string zone;
    std::string rack;
    Endpoint endpoint;
    std::unique_ptr<HttpServer> server;
    int64_t born { 0 };
    TimePoint bootedAt;
    bool isUp { true };
    TimePoint upAgainAt;
    TimePoint cutUntil;
    uint64_t fence { 0 };
    int64_t leaseEnd { 0 };
    std::map<std::string, Run> runs;
    std::map<std::string, uint32_t> highestEnded;
    std::vector<End> ends;
    uint64_t lastEnd { 0 };
    std::vector<Poll> polls;
    std::vector<HttpServer::Responder> unanswered; // Requests that arrived while the minion was cut off.
    uint64_t sequence { 0 };
    TimePoint nextReportAt;
    Endpoint reportTo;
    size_t nextControl { 0 };
    bool isRegistered { false };
};

Fleet::Fleet(boost::asio::io_context& io, Record& record, FleetOptions options)
    : m_io(io)
    , m_record(record)
    , m_options(std::move(options))
    , m_client(io, { .maxConnectionsPerEndpoint = 64, .connectTimeout = 300ms })
{
    constexpr size_t zones = 3;
    constexpr size_t perRack = 4;
    for (size_t i = 0; i < m_options.minions; ++i) {
        auto minion = std::make_unique<Minion>();
        minion->id = "i-" + std::to_string(1000 + i);
        minion->zone = "zone-" + std::to_string(i % zones + 1);
        minion->rack = "r1-" + std::to_string(i / perRack);
        minion->endpoint = { Cell::address(minionGroup, i), 0 };
        minion->born = wallNow().time_since_epoch() / 1ms;
        minion->bootedAt = steadyNow();
        minion->nextReportAt = steadyNow() + Duration(1000) * static_cast<int64_t>(i * 37 % 300);
        minion->nextControl = i;
        m_minions.push_back(std::move(minion));
        startServer(i);
    }
    const std::string address = Cell::address(minionGroup, m_options.minions);
    m_advice = std::make_unique<HttpServer>(m_io, HttpServerSettings { .listen = { address, 0 } },
        [this](const HttpRequest& request, const HttpServer::Responder& respond) { serveAdvice(request, respond); });
    if (!m_advice->start())
        throw std::runtime_error("the advice service cannot listen");
    m_adviceEndpoint = { address, m_advice->port() };
}

Fleet::~Fleet() { *m_isAlive = false; }

void Fleet::startServer(size_t index)
{
    Minion& minion = *m_minions[index];
    minion.server = std::make_unique<HttpServer>(m_io, HttpServerSettings { .listen = minion.endpoint },
        [this, index](
            const HttpRequest& request, const HttpServer::Responder& respond) { serve(index, request, respond); });
    if (!minion.server->start())
        throw std::runtime_error("a minion cannot listen");
    minion.endpoint.port = minion.server->port();
}

std::string Fleet::id(size_t minion) const { return m_minions[minion]->id; }
std::string Fleet::address(size_t minion) const { return formatEndpoint(m_minions[minion]->endpoint); }
int64_t Fleet::born(size_t minion) const { return m_minions[minion]->born; }
size_t Fleet::running(size_t minion) const { return m_minions[minion]->runs.size(); }
size_t Fleet::unconfirmedEnds(size_t minion) const { return m_minions[minion]->ends.size(); }

size_t Fleet::minionOf(const std::string& task) const
{
    size_t index = 0;
    while (index < m_minions.size() && !m_minions[index]->runs.contains(task))
        ++index;
    return index;
}

bool Fleet::areAllRegistered() const
{
    return std::all_of(m_minions.begin(), m_minions.end(), [](const auto& minion) { return minion->isRegistered; });
}

int64_t Fleet::clockOf(const Minion& minion) const { return (steadyNow() - minion.bootedAt) / 1ms + 1000; }

void Fleet::serve(size_t index, const HttpRequest& request, const HttpServer::Responder& respond)
{
    Minion& minion = *m_minions[index];
    if (steadyNow() < minion.cutUntil) {
        minion.unanswered.push_back(respond);
        return;
    }
    for (const auto& [name, value] : request.headers) {
        if (name == "X-Hickoryknot-Expect-Instance" && value != minion.id)
            return respond(answer(421, json::object()));
    }
    checkLease(minion);
    if (request.target == "/run-start")
        return handleStart(minion, request.body, respond);
    if (request.target == "/run-stop")
        return handleStop(minion, request.body, respond);
    if (request.target == "/hold")
        return handleHold(minion, request.body, respond);
    respond(answer(request.target == "/healthz" ? 200 : 404, json::object()));
}

void Fleet::serveAdvice(const HttpRequest& request, const HttpServer::Responder& respond)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("step") || !body.contains("workers"))
        return respond(answer(400, json::object()));
    json granted = json::array();
    for (const auto& worker : body["workers"])
        granted.push_back({ worker, body["step"].get<std::string>() + "@" + worker.get<std::string>() });
    respond(answer(200, { { "granted", granted }, { "validMs", 2000 } }));
}

void Fleet::handleStart(Minion& minion, const std::string& text, const HttpServer::Responder& respond)
{
    const auto body = json::parse(text, nullptr, false);
    const auto reject = [&](const char* reason) {
        respond(answer(409, { { "clockMs", clockOf(minion) }, { "reason", reason } }));
    };
    if (!body.is_object() || !body.contains("task") || !body.contains("run"))
        return respond(answer(400, json::object()));
    const auto task = body["task"].get<std::string>();
    const auto run = body["run"].get<uint32_t>();
    const auto fence = body.value("fence", uint64_t { 0 });
    const auto until = body.value("untilMs", int64_t { 0 });
    if (fence < minion.fence)
        return reject("fence");
    minion.fence = fence;
    if (until <= clockOf(minion))
        return reject("late");
    minion.leaseEnd = std::max(minion.leaseEnd, std::min(until, clockOf(minion) + holdMaxMs));
    const auto present = minion.runs.find(task);
    if (present != minion.runs.end() && present->second.run == run)
        return respond(answer(200, { { "clockMs", clockOf(minion) } }));
    const auto ended = minion.highestEnded.find(task);
    if (present != minion.runs.end() || (ended != minion.highestEnded.end() && ended->second >= run))
        return reject("old");
    if (m_options.needsTicket(task)) {
        const std::string step = task.substr(0, task.rfind('.'));
        if (body.value("ticket", "") != step + "@" + minion.id) {
            ++m_ticketRejections;
            if (m_ticketRejections <= 5)
                m_record.line(fmt::format("start of {} run {} on {} rejected: ticket", task, run, minion.id));
            return reject("ticket");
        }
    }
    const auto behaviour = m_options.behaviourOf(task);
    const TimePoint now = steadyNow();
    const size_t ledger = m_record.addRun(
        { .task = task, .run = run, .minion = minion.id, .startedAt = now, .endedAt = {}, .how = {}, .notedAt = {} });
    minion.runs[task] = { .run = run, .ledger = ledger, .endsAt = now + behaviour.workTime, .fails = behaviour.fails };
    respond(answer(200, { { "clockMs", clockOf(minion) } }));
}

void Fleet::handleStop(Minion& minion, const std::string& text, const HttpServer::Responder& respond)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("task") || !body.contains("run"))
        return respond(answer(400, json::object()));
    const auto task = body["task"].get<std::string>();
    const auto run = body["run"].get<uint32_t>();
    const auto fence = body.value("fence", uint64_t { 0 });
    if (fence < minion.fence)
        return respond(answer(409, { { "clockMs", clockOf(minion) }, { "reason", "fence" } }));
    minion.fence = fence;
    auto& highest = minion.highestEnded[task];
    highest = std::max(highest, run);
    const auto present = minion.runs.find(task);
    if (present != minion.runs.end() && present->second.run == run && !present->second.isStopping) {
        present->second.isStopping = true;
        present->second.endsAt = std::min(present->second.endsAt, steadyNow() + stopTime);
    }
    respond(answer(200, { { "clockMs", clockOf(minion) } }));
}

void Fleet::handleHold(Minion& minion, const std::string& text, const HttpServer::Responder& respond)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return respond(answer(400, json::object()));
    const auto fence = body.value("fence", uint64_t { 0 });
    if (fence < minion.fence)
        return respond(answer(409, { { "clockMs", clockOf(minion) }, { "reason", "fence" } }));
    minion.fence = fence;
    if (body.contains("untilMs"))
        minion.leaseEnd
            = std::max(minion.leaseEnd, std::min(body["untilMs"].get<int64_t>(), clockOf(minion) + holdMaxMs));
    minion.polls.push_back({ .lastSeen = body.value("lastSeen", uint64_t { 0 }),
        .until = steadyNow() + body.value("waitMs", 0) * Duration(1ms),
        .respond = respond });
    answerPolls(minion);
}

void Fleet::answerPolls(Minion& minion)
{
    auto polls = std::exchange(minion.polls, {});
    for (auto& poll : polls) {
        std::erase_if(minion.ends, [&](const Minion::End& end) {
            const bool isNoted = end.number <= poll.lastSeen;
            if (isNoted)
                m_record.run(end.ledger).notedAt = steadyNow();
            return isNoted;
        });
        if (minion.ends.empty() && steadyNow() < poll.until) {
            minion.polls.push_back(std::move(poll));
            continue;
        }
        json running = json::array();
        for (const auto& [task, run] : minion.runs)
            running.push_back({ task, run.run, "", 10 });
        json ended = json::array();
        for (const auto& end : minion.ends) {
            if (ended.size() < endsPerList)
                ended.push_back({ end.number, end.task, end.run, end.how, "" });
        }
        poll.respond(answer(200,
            { { "clockMs", clockOf(minion) }, { "born", minion.born }, { "running", running }, { "ended", ended } }));
    }
}

void Fleet::endRun(Minion& minion, std::string task, const std::string& how)
{
    const Run run = minion.runs.at(task);
    minion.runs.erase(task);
    auto& highest = minion.highestEnded[task];
    highest = std::max(highest, run.run);
    LedgerRun& entry = m_record.run(run.ledger);
    entry.endedAt = steadyNow();
    entry.how = how;
    minion.ends.push_back(
        { .number = ++minion.lastEnd, .task = task, .run = run.run, .how = how, .ledger = run.ledger });
}

void Fleet::checkLease(Minion& minion)
{
    if (clockOf(minion) < minion.leaseEnd)
        return;
    for (const auto& end : minion.ends)
        m_record.run(end.ledger).hasLeaseLapsed = true;
    while (!minion.runs.empty())
        endRun(minion, minion.runs.begin()->first, "lapsed");
}

void Fleet::advance()
{
    const TimePoint now = steadyNow();
    for (size_t i = 0; i < m_minions.size(); ++i) {
        Minion& minion = *m_minions[i];
        if (!minion.isUp) {
            if (now < minion.upAgainAt)
                continue;
            minion.isUp = true;
            minion.born = wallNow().time_since_epoch() / 1ms;
            minion.bootedAt = now;
            minion.nextReportAt = now;
            startServer(i);
        }
        checkLease(minion);
        std::vector<std::string> due;
        for (const auto& [task, run] : minion.runs) {
            if (now >= run.endsAt)
                due.push_back(task);
        }
        for (const auto& task : due) {
            const Run& run = minion.runs.at(task);
            endRun(minion, task, run.isStopping ? "stopped" : run.fails ? "failed" : "done");
        }
        if (now < minion.cutUntil)
            continue;
        minion.unanswered.clear();
        answerPolls(minion);
        if (now >= minion.nextReportAt)
            sendReport(i);
    }
}

void Fleet::sendReport(size_t index)
{
    Minion& minion = *m_minions[index];
    minion.nextReportAt = steadyNow() + heartbeat;
    if (m_controls.empty())
        return;
    if (!minion.reportTo.port)
        minion.reportTo = m_controls[minion.nextControl++ % m_controls.size()];
    const json body { { "service", m_options.service }, { "address", formatEndpoint(minion.endpoint) },
        { "zone", minion.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "warmupLeftMs", 0 },
        { "capacity", { { "cpu", m_options.cpu }, { "memMb", m_options.memMb }, { "gpu", 0 } } },
        { "labels", { m_options.kindOf(index), minion.rack } }, { "clockMs", clockOf(minion) },
        { "sequence", ++minion.sequence }, { "born", minion.born } };
    HttpRequest request { .method = "PUT",
        .target = "/instances/" + minion.id,
        .headers = { { "Content-Type", "application/json" } },
        .body = body.dump() };
    m_client.send(minion.reportTo, std::move(request), reportTimeout,
        [this, alive = m_isAlive, index, born = minion.born](const HttpClientResult& result) {
            if (!*alive || m_minions[index]->born != born)
                return;
            Minion& current = *m_minions[index];
            if (result.response && result.response->status / 100 == 2) {
                current.isRegistered = true;
                const auto reply = json::parse(result.response->body, nullptr, false);
                const auto next = reply.is_object() ? reply.value("heartbeatAddr", "") : "";
                if (const auto endpoint = parseEndpoint(next))
                    current.reportTo = *endpoint;
                return;
            }
            current.reportTo = {};
            current.nextReportAt = steadyNow() + 50ms;
        });
}

void Fleet::cut(size_t index, Duration duration)
{
    Minion& minion = *m_minions[index];
    minion.cutUntil = steadyNow() + duration;
    // Answers can't pass the cut either.
    for (auto& poll : std::exchange(minion.polls, {}))
        minion.unanswered.push_back(std::move(poll.respond));
}

void Fleet::crash(size_t index, Duration downTime)
{
    Minion& minion = *m_minions[index];
    minion.server.reset();
    for (auto& [task, run] : minion.runs) {
        m_record.run(run.ledger).endedAt = steadyNow();
        m_record.run(run.ledger).how = "crash";
    }
    minion.runs.clear();
    minion.highestEnded.clear();
    minion.ends.clear();
    minion.polls.clear();
    minion.unanswered.clear();
    minion.lastEnd = minion.sequence = minion.fence = 0;
    minion.leaseEnd = 0;
    minion.reportTo = {};
    minion.isUp = minion.isRegistered = false;
    minion.upAgainAt = steadyNow() + downTime;
}

} // namespace hickoryknot::review
