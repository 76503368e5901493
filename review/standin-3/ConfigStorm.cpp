#include <atomic>
#include <csignal>
#include <map>

#include "Cases.h"
#include "CellUnderTest.h"

namespace review {

namespace {

constexpr size_t minions = 8;
/// As after four times big_config of the site file (350 routes each).
constexpr int routes = 1400;
/// The pause between changes of config_storm in the site file.
constexpr int64_t gapMs = 80;
constexpr uint64_t changes = 700;
constexpr int64_t stormLimitMs = 75'000;
/// Limit of a core machine in the site file and in the settings.
constexpr double memoryMb = 256;
/// An ended process is started again after a short delay.
constexpr int64_t restartDelayMs = 500;
constexpr int64_t finishMs = 14'000;
constexpr int64_t readBackMs = 6000;
constexpr int operatorTimeoutMs = 1000;

nlohmann::json largeConfig(uint64_t version)
{
    auto config = smallConfig(version);
    for (int i = 0; i < routes; ++i) {
        auto route = config["routes"][0];
        route["name"] = "r-" + std::to_string(100'000 + i);
        route["pathPrefix"] = "/pufi" + std::to_string(100'000 + i) + "/";
        route["timeoutMs"] = 3000 + version % 100;
        config["routes"].push_back(route);
    }
    return config;
}

/// The platform: ends processes that use more memory than their machine has, and starts ended ones again.
class Platform {
public:
    Platform(Cell& cell, Record& record)
        : m_cell(cell)
        , m_record(record)
    {
    }

    void advance()
    {
        for (auto* host : m_cell.controls()) {
            const double used = m_cell.residentMb(*host);
            m_peakMb = std::max(m_peakMb, used);
            if (used > memoryMb) {
                m_record.write(host->name + " uses " + std::to_string(used) + " MB of its memoryMb 256 and is killed");
                m_cell.signal(*host, SIGKILL);
                m_startAtMs[host] = steadyMs() + restartDelayMs;
                ++m_kills;
            }
            if (!m_cell.isRunning(*host) && m_startAtMs.contains(host) && steadyMs() >= m_startAtMs[host])
                m_cell.start(*host);
        }
    }
    double peakMb() const { return m_peakMb; }
    size_t kills() const { return m_kills; }

private:
    Cell& m_cell;
    Record& m_record;
    std::map<Cell::Host*, int64_t> m_startAtMs;
    double m_peakMb { 0 };
    size_t m_kills { 0 };
};

} // namespace

Verdict runConfigStorm(const CaseOptions& options, Record& record)
{
    CellUnderTest test(options.program, minions, record);
    if (!test.isReady())
        return Verdict::NotRun;
    Platform platform(test.cell, record);
    const std::string id = "5c0e7a21d94b36f8";
    test.fleet->addJob(id, { { .workMs = 2000 } });
    const nlohmann::json job { { "spec", "match" },
        { "steps", { { { "count", 2 }, { "cpu", 980 }, { "memMb", 1800 }, { "estimateMs", 2000 } } } } };
    if (!test.consumer.submitUntilAccepted(id, job, 10'000))
        return Verdict::NotRun;

    const auto hosts = test.cell.controlAddresses();
    std::atomic<uint64_t> acknowledged { 1 };
    std::atomic<uint64_t> sent { 0 };
    std::atomic<bool> isStopping { false };
    std::atomic<uint64_t> nextVersion { 2 };
    const uint64_t count = options.hasTrouble ? changes : 5;
    const auto sendChanges = [&] {
        while (!isStopping) {
            const uint64_t version = nextVersion++;
            if (version >= 2 + count)
                return;
            HttpMessage request;
            request.method = "PUT";
            request.path = "/config";
            request.body = largeConfig(version).dump();
            int64_t backoffMs = 100;
            for (size_t i = version; !isStopping; ++i) {
                request.headers["host"] = hosts[i % hosts.size()].text();
                const auto response = callOnce(hosts[i % hosts.size()], request, operatorTimeoutMs);
                if (response && response->status == 200) {
                    for (uint64_t known = acknowledged; known < version;)
                        acknowledged.compare_exchange_weak(known, version);
                    break;
                }
                CellUnderTest::sleepMs(backoffMs);
                backoffMs = std::min<int64_t>(backoffMs * 2, 2000);
            }
            ++sent;
            CellUnderTest::sleepMs(gapMs);
        }
    };
    // Two operators may send at the same time.
    std::thread firstOperator(sendChanges);
    std::thread secondOperator(sendChanges);
    const auto passTime = [&](int64_t durationMs, const std::function<bool()>& isDone) {
        const int64_t until = steadyMs() + durationMs;
        while (steadyMs() < until && !isDone()) {
            platform.advance();
            CellUnderTest::sleepMs(50);
        }
    };
    passTime(stormLimitMs, [&] { return sent >= count; });
    isStopping = true;
    firstOperator.join();
    secondOperator.join();
    const uint64_t newest = acknowledged;
    record.write("newest acknowledged version " + std::to_string(newest) + ", peak of a control host "
        + std::to_string(platform.peakMb()) + " MB, " + std::to_string(platform.kills()) + " ends for memory");
    passTime(finishMs, [] { return false; });

    // The operator reads the configuration back, and the consumer asks for its job.
    uint64_t read = 0;
    std::string state;
    const int64_t until = steadyMs() + readBackMs;
    for (size_t i = 0; steadyMs() < until && (read < newest || state.empty()); ++i) {
        platform.advance();
        HttpMessage request;
        request.method = "GET";
        request.path = "/config";
        request.headers["host"] = hosts[i % hosts.size()].text();
        const auto response = callOnce(hosts[i % hosts.size()], request, operatorTimeoutMs);
        const auto body = response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
        if (response && response->status == 200 && body.is_object())
            read = std::max(read, body.value("version", uint64_t { 0 }));
        record.write("GET /config -> " + (response ? std::to_string(response->status) : "none")
            + ", newest version read " + std::to_string(read));
        if (state.empty())
            state = test.consumer.state(*test.cell.entries()[i % 2], id);
    }
    const bool isBroken = read < newest || state != "completed";
    record.write(isBroken ? "CONFIG or LOST is broken: version " + std::to_string(newest) + " was acknowledged and "
                + std::to_string(read) + " is read back; the state of the accepted job is '" + state + "'"
                          : "CONFIG and LOST hold");
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
