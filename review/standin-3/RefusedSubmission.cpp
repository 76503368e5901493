#include <algorithm>
#include <atomic>
#include <map>

#include "Cases.h"
#include "CellUnderTest.h"

namespace review {

namespace {

constexpr size_t minions = 8;
constexpr int rounds = 16;
constexpr int jobsPerRound = 60;
constexpr int jobsBeforeChange = 30;
/// A hundred jobs a second, as in a burst of the site's lookups (2.1 times 48.2).
constexpr int64_t pauseMs = 10;
constexpr int64_t workMs = 200;
/// More than configApplyMs (2,000).
constexpr int64_t applyMs = 2500;
constexpr int64_t settleMs = 1500;
constexpr int timeBudgetMs = 3000;
const std::string droppedPrefix = "/pufi791/";

} // namespace

// Consumers hand in jobs on a route while the open channels between hosts go silent and the operator drops the route.
Verdict runRefusedSubmission(const CaseOptions& options, Record& record)
{
    CellUnderTest test(options.program, minions, record, true);
    if (!test.isReady())
        return Verdict::NotRun;
    uint64_t version = 2;
    const auto withRoute = [&] {
        auto config = smallConfig(version++);
        auto route = config["routes"][0];
        route["name"] = "r-73d3zji";
        route["pathPrefix"] = droppedPrefix;
        config["routes"].push_back(route);
        return config;
    };
    const nlohmann::json job { { "spec", "match" },
        { "steps", { { { "count", 1 }, { "cpu", 980 }, { "memMb", 1800 }, { "estimateMs", workMs } } } } };
    for (int round = 0; round < rounds; ++round) {
        if (!test.consumer.putConfig(withRoute(), 10'000))
            return Verdict::NotRun;
        CellUnderTest::sleepMs(applyMs);
        std::vector<std::string> ids;
        for (int i = 0; i < jobsPerRound; ++i) {
            char id[17];
            std::snprintf(id, sizeof id, "5c0e7a21%04x%04x", round, i);
            ids.emplace_back(id);
            test.fleet->addJob(id, { { .workMs = workMs } });
        }
        // Status of the first response; only jobs with a single attempt are looked at.
        std::vector<std::atomic<int>> statuses(jobsPerRound);
        const auto controls = test.cell.controls();
        const auto leader = std::find(controls.begin(), controls.end(), test.leader());
        const auto firstHost = static_cast<size_t>(leader - controls.begin()) % controls.size();
        std::vector<std::thread> threads;
        for (int i = 0; i < jobsPerRound; ++i) {
            if (i == jobsBeforeChange) {
                threads.emplace_back([&] {
                    CellUnderTest::sleepMs(pauseMs / 2);
                    if (options.hasTrouble)
                        test.cell.silenceOpenConnections();
                    test.consumer.putConfig(smallConfig(version++), 10'000, firstHost);
                });
            }
            threads.emplace_back([&, i] {
                const auto& entry = *test.cell.entries()[static_cast<size_t>(i) % 2];
                const auto response = callOnce(
                    test.cell.frontend(entry), test.consumer.submission(droppedPrefix, ids[i], job), timeBudgetMs);
                statuses[i] = response ? response->status : 0;
                record.write(
                    "POST " + droppedPrefix + ids[i] + " at " + entry.name + " -> " + std::to_string(statuses[i]));
            });
            CellUnderTest::sleepMs(pauseMs);
        }
        for (auto& thread : threads)
            thread.join();
        CellUnderTest::sleepMs(settleMs);
        for (const auto& run : test.fleet->started()) {
            for (int i = 0; i < jobsPerRound; ++i) {
                const int status = statuses[i];
                const bool isRejected = status >= 400 && status < 500;
                if ((!isRejected && status != 503) || !run.task.starts_with(ids[i]))
                    continue;
                record.write("REFUSED is broken: the only attempt to hand in " + ids[i] + " was answered "
                    + std::to_string(status) + ", and minion " + run.minion + " started " + run.task);
                return Verdict::Broken;
            }
        }
    }
    record.write("REFUSED holds");
    return Verdict::Held;
}

} // namespace review
