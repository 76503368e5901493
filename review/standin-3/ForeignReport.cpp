#include <set>

#include "Cases.h"
#include "CellUnderTest.h"

namespace review {

namespace {

constexpr size_t minions = 8;
constexpr uint32_t tasks = 4;
constexpr int64_t workMs = 9000;
constexpr int64_t caseLimitMs = 45'000;
constexpr int reportTimeoutMs = 1000;

} // namespace

Verdict runForeignReport(const CaseOptions& options, Record& record)
{
    CellUnderTest test(options.program, minions, record);
    if (!test.isReady())
        return Verdict::NotRun;
    const std::string id = "5c0e7a21d94b36f8";
    test.fleet->addJob(id, { { .workMs = workMs } });
    const nlohmann::json job { { "spec", "match" },
        { "steps", { { { "count", tasks }, { "cpu", 4500 }, { "memMb", 4600 }, { "estimateMs", workMs } } } } };
    if (!test.consumer.submitUntilAccepted(id, job, 10'000))
        return Verdict::NotRun;
    const auto taskName = [&](uint32_t index) { return id + ".0.0." + std::to_string(index); };
    bool wasSent = !options.hasTrouble;
    std::set<std::string> twice;
    std::string state;
    int64_t nextQuery = 0;
    const int64_t until = steadyMs() + caseLimitMs;
    while (steadyMs() < until && state != "completed" && state != "failed" && state != "cancelled") {
        if (!wasSent && test.fleet->progressOf(taskName(0)) >= 2000) {
            // Another writer's report: version, slots, warmupLeftMs and labels are missing.
            const size_t minion = test.fleet->minionsWith(taskName(0)).front();
            const nlohmann::json body { { "service", "huvo11a" }, { "address", test.fleet->addressOf(minion).text() },
                { "zone", "zone-a" }, { "state", "ready" },
                { "capacity", { { "cpu", 16000 }, { "memMb", 32768 }, { "gpu", 0 } } }, { "sequence", 1 },
                { "born", unixMs() } };
            HttpMessage request;
            request.method = "PUT";
            request.path = "/instances/agent-1";
            request.body = body.dump();
            const Address to = test.cell.controlAddresses().front();
            request.headers["host"] = to.text();
            const auto response = callOnce(to, request, reportTimeoutMs);
            record.write("another writer: PUT /instances/agent-1 " + request.body + " -> "
                + (response ? std::to_string(response->status) : "none"));
            wasSent = true;
        }
        for (uint32_t index = 0; index < tasks; ++index) {
            const auto present = test.fleet->minionsWith(taskName(index));
            if (present.size() > 1 && twice.insert(taskName(index)).second)
                record.write(taskName(index) + " runs on " + std::to_string(present.size()) + " minions at once");
        }
        if (steadyMs() >= nextQuery) {
            state = test.consumer.state(*test.cell.entries()[0], id);
            nextQuery = steadyMs() + 500;
        }
        test.sleepMs(5);
    }
    record.write("state '" + state + "'");
    if (!wasSent)
        return Verdict::NotRun;
    record.write(
        twice.empty() ? "TWICE holds" : "TWICE is broken: two runs of a task at the same time on minions that are up");
    return twice.empty() ? Verdict::Held : Verdict::Broken;
}

} // namespace review
