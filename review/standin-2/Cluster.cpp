#include "Cluster.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

constexpr uint16_t callerPort = 8161;
constexpr uint16_t controlPort = 8166;
constexpr uint16_t readinessPort = 8167;
constexpr uint16_t internalPort = 7720;
constexpr uint16_t workerPort = 8080;
constexpr uint16_t advicePort = 8169;
constexpr int adviceAddress = 40;
/// Cost of a call for advice, as the lookups of the sites have it, and how long a ticket is valid.
constexpr double decideMs = 10;
constexpr double eachMs = 0.15;
constexpr int validMs = 2500;
constexpr const char* callerHost = "nony24.example";
constexpr const char* service = "huvo11a";
constexpr int zones = 3;
constexpr Milliseconds callTimeout { 3000 };

} // namespace

Cluster::Cluster(ClusterOptions options, Record& record)
    : m_options(std::move(options))
    , m_record(record)
{
    for (int zone = 0; zone < zones; ++zone) {
        const std::string name = "zone-" + std::string(1, static_cast<char>('a' + zone));
        m_hosts.push_back({ .name = "core-" + name, .role = "control", .zone = name, .address = address(10 + zone) });
        m_hosts.push_back({ .name = "front-" + name, .role = "entry", .zone = name, .address = address(20 + zone) });
    }
    std::vector<std::string> controlAddresses;
    for (const auto& host : m_hosts) {
        if (host.role == "control")
            controlAddresses.push_back(host.address);
    }
    for (size_t i = 0; i < m_options.workers; ++i) {
        WorkerOptions worker;
        worker.id = "i-" + std::to_string(1000 + i);
        worker.address = address(static_cast<int>(50 + i));
        worker.port = workerPort;
        worker.zone = m_hosts[2 * (i % zones)].zone;
        worker.rack = "r1-" + std::to_string(i / 8);
        worker.service = service;
        worker.namesBootInAnswers = std::getenv("BOOT_IN_ANSWERS") != nullptr;
        worker.controlAddresses = controlAddresses;
        worker.controlPort = controlPort;
        m_workers.push_back(std::make_unique<Worker>(worker, record));
    }
}

Cluster::~Cluster()
{
    for (auto& host : m_hosts)
        signalHost(host, SIGKILL);
    for (auto& worker : m_workers)
        worker->stop();
}

std::string Cluster::address(int number) const
{
    // Own addresses for each process that runs a case, so that the ports are free.
    const int process = getpid();
    return "127." + std::to_string(100 + process % 100) + "." + std::to_string(process / 100 % 250) + "."
        + std::to_string(number);
}

void Cluster::startHost(Host& host, bool isFirstStart)
{
    const std::string folder = m_options.folder + "/" + host.name;
    std::filesystem::create_directories(folder + "/data");
    json seeds = json::array();
    for (const auto& other : m_hosts) {
        if (other.role == "control")
            seeds.push_back(other.address + ":" + std::to_string(controlPort));
    }
    json listen;
    if (host.role == "control") {
        listen["control"] = host.address + ":" + std::to_string(controlPort);
    } else {
        listen["frontend"] = host.address + ":" + std::to_string(callerPort);
        listen["readiness"] = host.address + ":" + std::to_string(readinessPort);
    }
    const json bounds { { "seedLagS", 3 }, { "reuseAfterS", 2 }, { "contactMs", 3000 }, { "ackMs", 4000 },
        { "catchUpS", 4 }, { "drainMs", 2000 }, { "graceS", 6 }, { "lossSlackMs", 200 }, { "configApplyMs", 2000 },
        { "downgradeSlackMs", 250 }, { "maxStretchMs", 5000 }, { "recoverS", 12 }, { "holdMaxMs", 10000 },
        { "stopMs", 900 }, { "gangMs", 3000 }, { "cancel_ms", 3000 }, { "visible_ms", 3000 }, { "early_ms", 250 },
        { "finish_s", 14 }, { "status_s", 120 }, { "remoteSlowdown", 2 }, { "checkpointS", 1 }, { "restoreMs", 250 },
        { "noticeMs", 4500 }, { "moveS", 1.5 }, { "upkeepS", 2 }, { "fencingRequired", false }, { "leaseMs", 3000 },
        { "thawMs", 300 }, { "paceMs", 100 }, { "harmMs", 4000 } };
    json settings { { "node", host.name }, { "role", host.role }, { "zone", host.zone }, { "region", "region" },
        { "ip", host.address }, { "internalPortRange", { internalPort, internalPort + 15 } }, { "seeds", seeds },
        { "bootstrap", isFirstStart }, { "inTolerance", false }, { "listen", listen }, { "heartbeatMs", 1500 },
        { "contracts", { "base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing" } },
        { "orders", "call" }, { "advice", address(adviceAddress) + ":" + std::to_string(advicePort) },
        { "faultTolerance", { { "machines", 1 }, { "zones", 1 }, { "regions", 0 } } }, { "bounds", bounds } };
    if (host.role == "control")
        settings["dataDir"] = folder + "/data";
    const std::string settingsFile = folder + "/settings.json";
    std::ofstream(settingsFile) << settings.dump(1);
    const pid_t process = ::fork();
    if (!process) {
        // The host ends with this process, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open((folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("HICKORYKNOT_SETTINGS", settingsFile.c_str(), 1);
        ::execl(m_options.program.c_str(), m_options.program.c_str(), host.role.c_str(), nullptr);
        ::_exit(127);
    }
    host.process = process;
}

void Cluster::signalHost(Host& host, int signal)
{
    if (host.process <= 0)
        return;
    ::kill(host.process, signal);
    if (signal == SIGKILL) {
        ::waitpid(host.process, nullptr, 0);
        host.process = 0;
    }
}

bool Cluster::start()
{
    m_advice = std::make_unique<HttpServer>(
        address(adviceAddress), advicePort, [this](const HttpMessage& request) { return advise(request); });
    m_advice->start();
    for (auto& host : m_hosts)
        startHost(host, true);
    if (!putConfiguration(7, { { .name = "r-3hwrr6x", .prefix = prefix } }))
        return false;
    for (auto& worker : m_workers)
        worker->start();
    // Two reports of each worker.
    std::this_thread::sleep_for(Milliseconds(4000));
    for (const auto& host : m_hosts) {
        if (host.role != "entry")
            continue;
        const auto ready
            = callHttp(host.address, readinessPort, { .method = "GET", .target = "/readyz" }, Milliseconds(1000));
        if (!ready || ready->status != 200)
            return false;
    }
    m_record.write(
        "the deployment is ready: 3 control hosts, 3 entry hosts, " + std::to_string(m_workers.size()) + " workers");
    return true;
}

std::optional<HttpMessage> Cluster::advise(const HttpMessage& request)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("step") || !body.contains("workers"))
        return HttpMessage { .status = 400, .body = "{}" };
    const auto delay = decideMs + eachMs * static_cast<double>(body["workers"].size());
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(delay));
    json granted = json::array();
    for (const std::string worker : body["workers"]) {
        if (worker == m_workers.front()->id())
            granted.push_back({ worker, Worker::makeTicket(body["step"], worker, Milliseconds(validMs)) });
    }
    return HttpMessage { .status = 200, .body = json { { "granted", granted } }.dump() };
}

bool Cluster::putConfiguration(int version, const std::vector<QueueOptions>& queues)
{
    json routes = json::array();
    for (const auto& queue : queues) {
        json route { { "name", queue.name }, { "host", callerHost }, { "pathPrefix", queue.prefix },
            { "kind", "unsafe" }, { "timeoutMs", 3000 }, { "targetLatencyMs", queue.targetLatencyMs },
            { "priority", queue.priority }, { "service", service }, { "maxAttempts", 4 },
            { "stretch", queue.stretch } };
        if (queue.needsTicket)
            route["advice"] = { { "decideMs", decideMs }, { "eachMs", eachMs }, { "validMs", validMs } };
        routes.push_back(route);
    }
    const json pool { { "name", service }, { "healthPath", "/healthz" }, { "maxConns", 64 }, { "protocol", "h1" },
        { "tls", false }, { "rejectsOverload", false }, { "standby", false } };
    const json body { { "version", version }, { "routes", routes }, { "services", { pool } },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } } };
    const auto deadline = Clock::now() + std::chrono::seconds(15);
    for (size_t i = 0; Clock::now() < deadline; ++i) {
        const auto& host = m_hosts[2 * (i % zones)];
        const auto answer = callHttp(host.address, controlPort,
            { .method = "PUT",
                .target = "/config",
                .headers = { { "Host", host.address }, { "Content-Type", "application/json" } },
                .body = body.dump() },
            Milliseconds(1000));
        if (answer && answer->status == 200) {
            m_record.write("configuration " + std::to_string(version) + " is confirmed");
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(200));
    }
    return false;
}

std::optional<size_t> Cluster::leader()
{
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_hosts[i].role != "control" || m_hosts[i].process <= 0)
            continue;
        const auto metrics
            = callHttp(m_hosts[i].address, internalPort, { .method = "GET", .target = "/metrics" }, Milliseconds(500));
        if (metrics && metrics->body.find("\nhickoryknot_leads 1") != std::string::npos)
            return i;
    }
    return std::nullopt;
}

std::vector<RunInterval> Cluster::intervals() const
{
    std::vector<RunInterval> all;
    for (const auto& worker : m_workers) {
        for (auto& interval : worker->intervals())
            all.push_back(interval);
    }
    std::sort(all.begin(), all.end(), [](const RunInterval& a, const RunInterval& b) { return a.begin < b.begin; });
    return all;
}

std::optional<HttpMessage> Cluster::call(
    const std::string& method, const std::string& path, const std::string& body, int attempts)
{
    std::optional<HttpMessage> answer;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto& host = m_hosts[2 * (m_nextEntry++ % zones) + 1];
        answer = callHttp(host.address, callerPort,
            { .method = method,
                .target = path,
                .headers = { { "Host", callerHost }, { "Content-Type", "application/json" },
                    { "X-Hickoryknot-Deadline-Ms", std::to_string(callTimeout.count()) } },
                .body = body },
            callTimeout);
        if (answer && answer->status < 500 && answer->status != 429)
            break;
        std::this_thread::sleep_for(Milliseconds(300));
    }
    return answer;
}

std::string Cluster::stateOf(const std::string& job)
{
    const auto answer = call("GET", prefix + job);
    if (!answer)
        return "no answer";
    const auto body = json::parse(answer->body, nullptr, false);
    return body.is_object() && body.contains("state") ? body["state"].get<std::string>()
                                                      : std::to_string(answer->status);
}

} // namespace review
