#include <map>
#include <set>

#include "Cases.h"
#include "CellUnderTest.h"

namespace review {

namespace {

constexpr size_t minions = 8;
constexpr uint32_t members = 4;
constexpr int64_t workMs = 9000;
/// One of eight minions, for 2 s: within the share (0.15) and the time (4.5 s) of the pages.
constexpr int64_t downMs = 2000;
/// After the members have produced their second checkpoint.
constexpr int64_t crashAtProgressMs = 2200;
/// Other work on each minion began this long before the gang, so that lists are not asked for in step with it.
constexpr int64_t otherWorkLeadMs = 480;
constexpr int64_t otherWorkMs = 100'000;
constexpr int64_t caseLimitMs = 60'000;

} // namespace

Verdict runGangCheckpoint(const CaseOptions& options, Record& record)
{
    CellUnderTest test(options.program, minions, record);
    if (!test.isReady())
        return Verdict::NotRun;
    const std::string id = "5c0e7a21d94b36f8";
    const std::string task = id + ".0.0.0";
    const std::string other = "5c0e7a21d94b36f9";
    test.fleet->addJob(other, { { .workMs = otherWorkMs } });
    const nlohmann::json otherJob { { "spec", "match" },
        { "steps",
            { { { "count", minions }, { "cpu", 980 }, { "memMb", 1800 }, { "estimateMs", otherWorkMs },
                { "maxPerServer", 1 } } } } };
    if (!test.consumer.submitUntilAccepted(other, otherJob, 10'000))
        return Verdict::NotRun;
    while (test.fleet->started().size() < minions && !test.fleet->minionsWith(other + ".0.0.0").empty())
        test.sleepMs(5);
    test.sleepMs(otherWorkLeadMs);
    test.fleet->addJob(id, { { .workMs = workMs, .gangSize = members, .isCheckpointing = true } });
    // Each member fills most of a minion, so that each is on another one.
    const nlohmann::json job { { "spec", "rebuild" },
        { "steps",
            { { { "count", members }, { "cpu", 12000 }, { "memMb", 4600 }, { "estimateMs", workMs }, { "gang", true },
                { "checkpointing", true } } } } };
    if (!test.consumer.submitUntilAccepted(id, job, 10'000))
        return Verdict::NotRun;
    bool hasCrashed = false;
    std::string state;
    int64_t nextQuery = 0;
    const int64_t until = steadyMs() + caseLimitMs;
    while (steadyMs() < until && state != "completed" && state != "failed" && state != "cancelled") {
        if (options.hasTrouble && !hasCrashed && test.fleet->progressOf(task) >= crashAtProgressMs) {
            test.fleet->crash(test.fleet->minionsWith(task).front(), downMs);
            hasCrashed = true;
        }
        if (steadyMs() >= nextQuery) {
            state = test.consumer.state(*test.cell.entries()[0], id);
            nextQuery = steadyMs() + 500;
        }
        test.sleepMs(10);
    }
    std::map<uint32_t, std::set<std::string>> checkpointsOfRun;
    for (const auto& run : test.fleet->started()) {
        if (run.task.starts_with(id))
            checkpointsOfRun[run.run].insert(run.checkpoint);
    }
    bool isBroken = false;
    for (const auto& [run, checkpoints] : checkpointsOfRun) {
        std::string text;
        for (const auto& checkpoint : checkpoints)
            text += " '" + checkpoint + "'";
        record.write("run " + std::to_string(run) + " of the gang was started with:" + text);
        isBroken = isBroken || checkpoints.size() > 1;
    }
    record.write("state '" + state + "'");
    if (options.hasTrouble && (!hasCrashed || checkpointsOfRun.size() < 2))
        return Verdict::NotRun;
    record.write(isBroken ? "UNASKED is broken: members of one run of a gang carry different checkpoints"
                          : "UNASKED holds: all members of each run carry the same checkpoint");
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
