#include "Consumer.h"

#include <chrono>
#include <thread>

#include "Fleet.h"

namespace review {

using nlohmann::json;

namespace {

constexpr int timeBudgetMs = 3000;
constexpr int operatorTimeoutMs = 1000;
const std::string queueHost = "nony24.example";
const std::string queuePrefix = "/lohu930/";

void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

} // namespace

json smallConfig(uint64_t version)
{
    return { { "version", version },
        { "routes",
            json::array({ { { "name", "r-3hwrr6x" }, { "host", queueHost }, { "pathPrefix", queuePrefix },
                { "kind", "unsafe" }, { "timeoutMs", 3000 }, { "targetLatencyMs", 3000 }, { "priority", 1 },
                { "service", "huvo11a" }, { "maxAttempts", 4 }, { "stretch", 4.0 } } }) },
        { "services",
            json::array({ { { "name", "huvo11a" }, { "healthPath", "/healthz" }, { "maxConns", 64 },
                { "protocol", "h1" }, { "tls", false }, { "rejectsOverload", false }, { "standby", false } } }) },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } } };
}

Consumer::Consumer(Cell& cell, Record& record)
    : m_cell(cell)
    , m_record(record)
{
}

bool Consumer::putConfig(const json& config, int64_t timeoutMs, size_t firstHost)
{
    HttpMessage request;
    request.method = "PUT";
    request.path = "/config";
    request.body = config.dump();
    const auto hosts = m_cell.controlAddresses();
    const int64_t until = steadyMs() + timeoutMs;
    for (size_t i = firstHost; steadyMs() < until; ++i) {
        request.headers["host"] = hosts[i % hosts.size()].text();
        const auto response = callOnce(hosts[i % hosts.size()], request, operatorTimeoutMs);
        if (response && response->status == 200) {
            m_record.write("config version " + config["version"].dump() + " is acknowledged");
            return true;
        }
        sleepMs(100);
    }
    m_record.write("config version " + config["version"].dump() + " is not acknowledged in time");
    return false;
}

bool Consumer::waitUntilReady(int64_t timeoutMs)
{
    HttpMessage request;
    request.method = "GET";
    request.path = "/readyz";
    const int64_t until = steadyMs() + timeoutMs;
    while (steadyMs() < until) {
        size_t ready = 0;
        for (const auto* host : m_cell.entries()) {
            const auto response = callOnce(m_cell.readiness(*host), request, operatorTimeoutMs);
            ready += response && response->status == 200;
        }
        if (ready == m_cell.entries().size())
            return true;
        sleepMs(50);
    }
    return false;
}

HttpMessage Consumer::request(const std::string& method, const std::string& id) const
{
    HttpMessage result;
    result.method = method;
    result.path = queuePrefix + id;
    result.headers["host"] = queueHost;
    result.headers["x-hickoryknot-deadline-ms"] = std::to_string(timeBudgetMs);
    return result;
}

HttpMessage Consumer::submission(const std::string& id, const json& job) const
{
    auto result = request("POST", id);
    result.body = job.dump();
    return result;
}

HttpMessage Consumer::submission(const std::string& prefix, const std::string& id, const json& job) const
{
    auto result = submission(id, job);
    result.path = prefix + id;
    return result;
}

int Consumer::submit(const Cell::Host& entry, const std::string& id, const json& job)
{
    m_record.write("POST " + id + " at " + entry.name + " " + job.dump());
    const auto response = callOnce(m_cell.frontend(entry), submission(id, job), timeBudgetMs);
    const int status = response ? response->status : 0;
    m_record.write("POST " + id + " at " + entry.name + " -> " + std::to_string(status));
    return status;
}

bool Consumer::submitUntilAccepted(const std::string& id, const json& job, int64_t timeoutMs)
{
    const int64_t until = steadyMs() + timeoutMs;
    const auto entries = m_cell.entries();
    for (size_t i = 0; steadyMs() < until; ++i) {
        if (submit(*entries[i % entries.size()], id, job) == 200)
            return true;
        sleepMs(300);
    }
    return false;
}

int Consumer::cancel(const Cell::Host& entry, const std::string& id)
{
    const auto response = callOnce(m_cell.frontend(entry), request("DELETE", id), timeBudgetMs);
    const int status = response ? response->status : 0;
    m_record.write("DELETE " + id + " at " + entry.name + " -> " + std::to_string(status));
    return status;
}

std::string Consumer::state(const Cell::Host& entry, const std::string& id)
{
    const auto response = callOnce(m_cell.frontend(entry), request("GET", id), timeBudgetMs);
    std::string result;
    if (response && response->status == 200) {
        const auto body = json::parse(response->body, nullptr, false);
        result = body.is_object() ? body.value("state", "") : "";
    } else if (response && response->status == 410) {
        result = "410";
    }
    m_record.write("GET " + id + " at " + entry.name + " -> " + (response ? std::to_string(response->status) : "none")
        + " " + result);
    return result;
}

} // namespace review
