#include <csignal>

#include "Cases.h"
#include "CellUnderTest.h"

namespace review {

namespace {

constexpr size_t minions = 8;
/// Two steps, so that the second one is started long after all disruptions.
constexpr int64_t workMs = 5000;
/// A freeze as long as the shortest one of the pages (3.5 s).
constexpr int64_t freezeMs = 3500;
/// The consumer leaves after half of its objective.
constexpr int64_t patienceMs = 500;
constexpr int64_t cancelMs = 3000;
constexpr int64_t contactMs = 3000;

} // namespace

Verdict runLateSubmission(const CaseOptions& options, Record& record)
{
    CellUnderTest test(options.program, minions, record);
    Cell::Host* leader = test.isReady() ? test.leader() : nullptr;
    if (!leader)
        return Verdict::NotRun;
    const std::string id = "5c0e7a21d94b36f8";
    test.fleet->addJob(id, { { .workMs = workMs }, { .workMs = workMs } });
    const nlohmann::json job {
        { "spec", "match" },
        { "steps",
            { { { "count", 2 }, { "cpu", 980 }, { "memMb", 1800 }, { "estimateMs", workMs } },
                { { "count", 2 }, { "cpu", 980 }, { "memMb", 1800 }, { "estimateMs", workMs }, { "after", { 0 } } } } }
    };
    Cell::Host& first = *test.cell.entries()[0];
    Cell::Host& second = *test.cell.entries()[1];
    const int64_t begin = steadyMs();
    if (options.hasTrouble)
        test.cell.signal(first, SIGSTOP);
    {
        HttpConnection connection(test.cell.frontend(first), static_cast<int>(patienceMs));
        record.write("POST " + id + " at " + first.name + " " + job.dump());
        connection.send(test.consumer.submission(id, job));
        const auto response = connection.receive();
        record.write("POST " + id + " at " + first.name + " -> "
            + (response ? std::to_string(response->status) : "none, the consumer leaves"));
    }
    // The consumer has no answer and gives the job up.
    int status = 0;
    for (int i = 0; i < 10 && status != 200 && status != 410; ++i)
        status = test.consumer.cancel(second, id);
    if (status != 200 && status != 410)
        return Verdict::NotRun;
    const int64_t cancelledAt = steadyMs();
    if (options.hasTrouble) {
        test.cell.signal(*leader, SIGKILL);
        test.sleepMs(500);
        test.cell.start(*leader);
        test.sleepMs(std::max<int64_t>(0, begin + freezeMs - steadyMs()));
        test.cell.signal(first, SIGCONT);
    }
    const int64_t calmSince = steadyMs();
    for (int i = 0; i < 18; ++i) {
        test.sleepMs(1000);
        test.consumer.state(second, id);
    }
    bool isBroken = false;
    for (const auto& run : test.fleet->started()) {
        const bool isLate = run.atMs > cancelledAt + cancelMs;
        const bool isInTouch = run.atMs > calmSince + contactMs;
        record.write(run.task + " was started " + std::to_string(run.atMs - cancelledAt)
            + " ms after the cancellation was acknowledged, " + std::to_string(run.atMs - calmSince)
            + " ms after the last disruption");
        isBroken = isBroken || (isLate && isInTouch);
    }
    record.write(
        isBroken ? "UNASKED is broken: tasks were started after the cancellation was acknowledged" : "UNASKED holds");
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
