#include "Scene.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "app/SteadyTime.h"

namespace hickoryknot::review {

using nlohmann::json;

namespace {

constexpr Duration step = 2ms;
constexpr Duration startTimeout = 25s;
constexpr Duration retryDelay = 200ms;

} // namespace

Scene::Scene(const std::string& folder, const std::string& recordFile, FleetOptions options)
    : m_record(recordFile)
    , m_fleet(std::make_unique<Fleet>(m_io, m_record, std::move(options)))
    , m_cell(std::make_unique<Cell>(folder, m_fleet->adviceEndpoint()))
    , m_client(m_io, { .maxConnectionsPerEndpoint = 64, .connectTimeout = 500ms })
{
}

Scene::~Scene() { m_record.listRuns(); }

json Scene::makeConfig(uint64_t version)
{
    return { { "version", version },
        { "routes",
            { { { "name", "r-render" }, { "host", host }, { "pathPrefix", "/render/" }, { "kind", "unsafe" },
                { "timeoutMs", 3000 }, { "targetLatencyMs", 3000 }, { "priority", 1 }, { "service", "svc-render" },
                { "maxAttempts", 3 }, { "stretch", 4.0 } } } },
        { "services",
            { { { "name", "svc-render" }, { "healthPath", "/healthz" }, { "maxConns", 64 }, { "protocol", "h1" },
                { "tls", false }, { "rejectsOverload", false }, { "standby", false } } } },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } } };
}

void Scene::start(const json& config)
{
    m_cell->startAll();
    std::vector<Endpoint> controls;
    for (size_t i = 0; i < Cell::controls; ++i)
        controls.push_back(m_cell->operatorEndpoint(i));
    runFor(500ms);
    putConfig(config);
    m_fleet->setControls(controls);
    if (!runUntil([&] { return m_fleet->areAllRegistered(); }, startTimeout))
        throw CannotRun("the minions were not registered");
    const std::string probe = "/render/ffffffffffffffff";
    const bool isServing = runUntil(
        [&] {
            for (size_t entry = 0; entry < Cell::entries; ++entry) {
                if (consumer(entry, "GET", probe, {}).status != 410)
                    return false;
            }
            return true;
        },
        startTimeout);
    if (!isServing)
        throw CannotRun(fmt::format("the entry processes do not serve: {}", consumer(0, "GET", probe, {}).status));
    // Capacity counts once each minion has answered its first poll.
    runFor(1s);
    m_record.line("the cell serves");
}

bool Scene::runUntil(const std::function<bool()>& isDone, Duration timeout)
{
    const TimePoint end = steadyNow() + timeout;
    while (steadyNow() < end) {
        m_fleet->advance();
        if (isDone())
            return true;
        m_io.restart();
        m_io.run_for(step);
    }
    return false;
}

HttpResponse Scene::call(const Endpoint& endpoint, HttpRequest request, Duration timeout)
{
    auto result = std::make_shared<std::optional<HttpResponse>>();
    m_client.send(endpoint, std::move(request), timeout, [result](HttpClientResult received) {
        *result = received.response ? std::move(*received.response) : HttpResponse { .status = 0 };
    });
    runUntil([&] { return result->has_value(); }, timeout + 1s);
    return result->value_or(HttpResponse { .status = 0 });
}

HttpResponse Scene::consumer(
    size_t entry, const std::string& method, const std::string& path, const std::string& body, Duration timeout)
{
    return call(m_cell->callerEndpoint(entry),
        { .method = method,
            .target = path,
            .headers = { { "Host", host }, { "Content-Type", "application/json" },
                { "X-Hickoryknot-Deadline-Ms", std::to_string(timeout / 1ms) } },
            .body = body },
        timeout);
}

void Scene::submit(const std::string& path, const json& job)
{
    constexpr int attempts = 10;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto response = consumer(m_nextEntry++ % Cell::entries, "POST", path, job.dump());
        m_record.line(fmt::format("POST {}: {}", path, response.status));
        if (response.status / 100 == 2)
            return;
        runFor(retryDelay);
    }
    throw CannotRun("a job was not accepted");
}

std::string Scene::stateOf(const std::string& path)
{
    const auto response = consumer(m_nextEntry++ % Cell::entries, "GET", path, {});
    const auto body = json::parse(response.body, nullptr, false);
    return response.status == 200 && body.is_object() ? body.value("state", "none") : "none";
}

void Scene::putConfig(const json& config)
{
    constexpr int attempts = 60;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto response = call(m_cell->operatorEndpoint(static_cast<size_t>(attempt) % Cell::controls),
            { .method = "PUT",
                .target = "/config",
                .headers = { { "Content-Type", "application/json" } },
                .body = config.dump() },
            1s);
        if (response.status == 200) {
            m_record.line(fmt::format("configuration {} acknowledged", config["version"].get<uint64_t>()));
            return;
        }
        runFor(retryDelay);
    }
    throw CannotRun("the configuration was not acknowledged");
}

size_t Scene::leader()
{
    for (size_t i = 0; i < Cell::controls; ++i) {
        if (m_cell->control(i).pid <= 0)
            continue;
        const auto response = call(m_cell->internalEndpoint(i), { .method = "GET", .target = "/metrics" }, 500ms);
        if (response.body.find("hickoryknot_leads 1") != std::string::npos)
            return i;
    }
    return Cell::controls;
}

} // namespace hickoryknot::review
