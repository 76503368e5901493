#include "SoakOperator.h"

#include <nlohmann/json.hpp>

#include "app/SteadyTime.h"

namespace hickoryknot::soak {

using nlohmann::json;

namespace {

constexpr Duration callTimeout = 1s;
constexpr Duration maxChangeInterval = 3s;
constexpr Duration readPeriod = 500ms;
constexpr Duration retryDelay = 100ms;

} // namespace

SoakOperator::SoakOperator(
    boost::asio::io_context& io, InvariantChecker& checker, std::vector<Endpoint> hosts, uint64_t seed)
    : m_io(io)
    , m_checker(checker)
    , m_hosts(std::move(hosts))
    , m_random(seed)
    , m_client(io, { .connectTimeout = 500ms })
{
}

SoakOperator::~SoakOperator() { *m_isAlive = false; }

std::string SoakOperator::document(uint64_t version)
{
    const json permission { { "decideMs", 10.0 }, { "eachMs", 0.1 }, { "validMs", 2500 } };
    const auto route = [&](const char* name, uint32_t priority, int latency) {
        json row { { "name", name }, { "host", "soak.example" }, { "pathPrefix", std::string("/") + name + "/" },
            { "kind", "unsafe" }, { "timeoutMs", 3000 + version }, { "targetLatencyMs", latency },
            { "priority", priority }, { "service", "pool" }, { "maxAttempts", InvariantChecker::maxAttempts },
            { "stretch", 20.0 } };
        // One queue needs no permission: permission tokens would prevent late starts on a worker's next incarnation.
        if (priority == 0)
            row["advice"] = permission;
        return row;
    };
    return json {
        { "version", version }, { "routes", { route("urgent", 0, 10'000), route("batch", 1, 30'000) } },
        { "services", { { { "name", "pool" }, { "rejectsOverload", false }, { "standby", false } } } }
    }.dump();
}

void SoakOperator::putTable(TimePoint now)
{
    m_isPutInFlight = true;
    m_nextPut = now + retryDelay;
    HttpRequest request { .method = "PUT", .target = "/config", .headers = {}, .body = document(m_version) };
    m_client.send(m_hosts[m_host], std::move(request), callTimeout,
        [this, alive = m_isAlive, version = m_version](const HttpClientResult& result) {
            if (!*alive)
                return;
            m_isPutInFlight = false;
            const int status = result.response ? result.response->status : 0;
            if (status >= 400 && status < 500)
                m_checker.addViolation(
                    "table version " + std::to_string(version) + " is refused with " + std::to_string(status));
            m_host = m_random() % m_hosts.size();
            if (status != 200)
                return;
            m_acknowledged = version;
            m_version += 1 + m_random() % 5;
            m_nextPut = steadyNow() + Duration(static_cast<int64_t>(m_random() % (maxChangeInterval / 1us)));
        });
}

void SoakOperator::readTable(TimePoint now)
{
    m_isReadInFlight = true;
    m_nextRead = now + readPeriod;
    // A read must return at least the version that was acknowledged before it was sent.
    const uint64_t minVersion = m_acknowledged;
    m_client.send(m_hosts[m_random() % m_hosts.size()], { .method = "GET", .target = "/config" }, callTimeout,
        [this, alive = m_isAlive, minVersion](const HttpClientResult& result) {
            if (!*alive)
                return;
            m_isReadInFlight = false;
            if (!result.response || result.response->status != 200)
                return;
            const auto body = json::parse(result.response->body, nullptr, false);
            const uint64_t version = body.is_object() ? body.value("version", 0ULL) : 0;
            if (version < minVersion)
                m_checker.addViolation("table version " + std::to_string(version) + " is read after "
                    + std::to_string(minVersion) + " was acknowledged");
            else if (result.response->body != document(version))
                m_checker.addViolation(
                    "table version " + std::to_string(version) + " is not what was sent under its number");
            else if (m_isEnding && version >= m_acknowledged)
                m_isReadBack = true;
        });
}

void SoakOperator::advance(TimePoint now)
{
    if (!m_isPutInFlight && now >= m_nextPut && !(m_isEnding && m_acknowledged))
        putTable(now);
    if (!m_isReadInFlight && now >= m_nextRead && m_acknowledged)
        readTable(now);
}

} // namespace hickoryknot::soak
