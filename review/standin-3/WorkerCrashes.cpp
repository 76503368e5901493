#include "Cases.h"
#include "CellUnderTest.h"

namespace review {

namespace {

constexpr size_t minions = 8;
constexpr int64_t workMs = 6000;
/// One of eight minions at a time, and for 2 s: within the share (0.15) and the time (4.5 s) of the pages.
constexpr int crashes = 3;
constexpr int64_t downMs = 2000;
constexpr int64_t caseLimitMs = 70'000;

} // namespace

Verdict runWorkerCrashes(const CaseOptions& options, Record& record)
{
    CellUnderTest test(options.program, minions, record);
    if (!test.isReady())
        return Verdict::NotRun;
    const std::string id = "5c0e7a21d94b36f8";
    const std::string task = id + ".0.0.0";
    test.fleet->addJob(id, { { .workMs = workMs } });
    const nlohmann::json job { { "spec", "rebuild" },
        { "steps", { { { "count", 1 }, { "cpu", 4500 }, { "memMb", 4600 }, { "estimateMs", workMs } } } } };
    if (!test.consumer.submitUntilAccepted(id, job, 10'000))
        return Verdict::NotRun;
    int crashed = 0;
    std::string state;
    int64_t nextQuery = 0;
    const int64_t until = steadyMs() + caseLimitMs;
    while (steadyMs() < until && state != "completed" && state != "failed" && state != "cancelled") {
        const bool isDue = options.hasTrouble && crashed < crashes && test.fleet->progressOf(task) >= 2500;
        if (isDue) {
            test.fleet->crash(test.fleet->minionsWith(task).front(), downMs);
            ++crashed;
        }
        if (steadyMs() >= nextQuery) {
            state = test.consumer.state(*test.cell.entries()[0], id);
            nextQuery = steadyMs() + 500;
        }
        test.sleepMs(20);
    }
    size_t failedEnds = 0;
    for (const auto& run : test.fleet->ended())
        failedEnds += run.task == task && run.how == "failed";
    record.write("state '" + state + "', " + std::to_string(crashed) + " crashes, " + std::to_string(failedEnds)
        + " runs ended failed, maxAttempts 4");
    if (options.hasTrouble && crashed < crashes && state == "completed")
        return Verdict::NotRun;
    const bool isBroken = (state == "failed" && failedEnds < 4) || state == "cancelled" || state == "410";
    record.write(isBroken ? "LOST is broken: the job is shown as " + state + " without cause" : "LOST holds");
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
