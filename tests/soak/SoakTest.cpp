#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

#include "SoakCallers.h"
#include "SoakCluster.h"
#include "SoakFaults.h"
#include "SoakNoise.h"
#include "SoakOperator.h"
#include "SoakWorkers.h"
#include "app/SteadyTime.h"

namespace hickoryknot::soak {

namespace {

constexpr Duration tick = 10ms;
constexpr double workerCount = 12;
/// Enough for worker proxies and calls through followers to be used.
constexpr double manyWorkers = 80;
/// About half of the workers' capacity.
constexpr double jobsPerSecond = 12;
constexpr Duration startupTimeout = 10s;
/// Before the last job continues, leases of 10 s, a probation of up to 16 s and an election may pass.
constexpr Duration settleTimeout = 60s;

/// Seeds that once failed, with the cause. A seed's schedule changes whenever the soak test changes, so they are not
/// exact regression tests.
struct FailedSeed {
    uint64_t seed;
    const char* cause;
};
constexpr std::array failedSeeds {
    FailedSeed { 9, "a start on its way was taken by the worker's next life: two runs of one task" },
    FailedSeed { 11, "the same: a worker over its capacity, and a start after a confirmed end" },
    FailedSeed { 7, "a start acknowledged by the worker's next incarnation: two runs of one task" },
    FailedSeed { 15, "the same" },
};

double environmentNumber(const char* name, double defaultValue)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text ? std::stod(text) : defaultValue;
}

} // namespace

class SoakTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SoakTest);
    CPPUNIT_TEST(guaranteesHoldUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

    // Guards against jobs that are lost, run twice, run after a refusal or are shown in a wrong state, and against
    // table versions that go back, while real processes are killed, stopped, paused, cut off, lose their disks and get
    // malformed messages on every port, and workers start again under their ids. By the seed, workers name their
    // incarnation in responses to starts and stops or not, and restart often or seldom.
    // Environment: SEEDS is the number of seeds (default: two and all in failedSeeds), FIRST_SEED the first one,
    // SOAK_SECONDS the time with faults; SOAK_FAULTS=0 disables faults, SOAK_KEEP keeps the logs, SOAK_WORKERS and
    // SOAK_JOBS (per second) set the load.
    void guaranteesHoldUnderRandomFaults()
    {
        const auto first = static_cast<uint64_t>(environmentNumber("FIRST_SEED", 1));
        const auto count = static_cast<uint64_t>(environmentNumber("SEEDS", 1));
        const Duration faultTime(static_cast<int64_t>(environmentNumber("SOAK_SECONDS", 10) * 1e6));
        for (uint64_t seed = first; seed < first + count; ++seed)
            play(seed, faultTime);
        if (std::getenv("SEEDS")) // NOLINT(concurrency-mt-unsafe)
            return;
        play(first + 1, faultTime);
        for (const auto& [seed, cause] : failedSeeds) {
            std::cerr << "seed " << seed << ", which failed once: " << cause << '\n';
            play(seed, faultTime);
        }
    }

    static void play(uint64_t seed, Duration faultTime)
    {
        const std::string folder = std::filesystem::temp_directory_path().string() + "/hickoryknot-soak-"
            + std::to_string(getpid()) + "-" + std::to_string(seed);
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        std::string report;
        {
            Run run(seed, folder);
            report = run.play(faultTime);
        }
        const bool isKept = !report.empty() || std::getenv("SOAK_KEEP"); // NOLINT(concurrency-mt-unsafe)
        if (!isKept)
            std::filesystem::remove_all(folder);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + ", logs in " + folder, std::string(), report);
    }

    /// Every second seed has six control hosts, of which two may fail, and many workers.
    static bool isLarge(uint64_t seed) { return seed % 2 == 0; }
    static ClusterOptions clusterOptions(uint64_t seed)
    {
        return isLarge(seed) ? ClusterOptions { .controlPerZone = 2, .toleratedLosses = 2 } : ClusterOptions {};
    }

    struct Run {
        Run(uint64_t seed, const std::string& folder)
            : workers(io, checker,
                static_cast<size_t>(environmentNumber("SOAK_WORKERS", isLarge(seed) ? manyWorkers : workerCount)), seed)
            , cluster(io, clusterOptions(seed), folder, workers.permissionService())
            , faults(cluster, workers, clusterOptions(seed).toleratedLosses, seed ^ 0x5eed)
            , noise(cluster, seed ^ 0xbad)
        {
            std::vector<Endpoint> operatorHosts;
            for (const auto* host : cluster.controlHosts())
                operatorHosts.push_back(SoakCluster::operatorEndpoint(*host));
            std::vector<Endpoint> entries;
            for (const auto* host : cluster.entryHosts())
                entries.push_back(SoakCluster::callerEndpoint(*host));
            workers.setControlHosts(operatorHosts);
            operators = std::make_unique<SoakOperator>(io, checker, operatorHosts, seed + 1);
            callers = std::make_unique<SoakCallers>(
                io, checker, entries, seed + 2, environmentNumber("SOAK_JOBS", jobsPerSecond));
        }

        /// Runs until the condition holds, a guarantee is violated or the timeout expires. Returns true if the
        /// condition holds.
        bool runFor(Duration timeout, bool hasCallers, const std::function<bool()>& isDone)
        {
            const TimePoint end = steadyNow() + timeout;
            while (steadyNow() < end) {
                const TimePoint next = steadyNow() + tick;
                while (steadyNow() < next) {
                    io.run_one_for(std::chrono::milliseconds(2));
                    io.restart();
                }
                const TimePoint now = steadyNow();
                operators->advance(now);
                workers.advance(now);
                if (hasCallers)
                    callers->advance(now);
                for (const auto& exit : cluster.restartExited())
                    checker.addViolation(exit);
                if (!checker.violations().empty())
                    return false;
                if (isDone())
                    return true;
            }
            return false;
        }

        std::string play(Duration faultTime)
        {
            cluster.startAll();
            if (!runFor(startupTimeout, false, [&] { return operators->hasAcknowledged(); })
                && checker.violations().empty())
                return "no table version was acknowledged within the start";
            runFor(2s, true, [] { return false; });
            const bool hasFaults = environmentNumber("SOAK_FAULTS", 1) != 0;
            runFor(faultTime, true, [&] {
                if (hasFaults) {
                    faults.advance(steadyNow());
                    noise.advance();
                }
                return false;
            });
            faults.endFaults(steadyNow());
            checker.setQuietSince(steadyNow() + 10s);
            callers->stopSubmitting();
            operators->stopChanges();
            const bool hasSettled = runFor(settleTimeout, true, [&] {
                return !callers->hasPendingCalls() && checker.unfinishedJobs().empty() && operators->isReadBack();
            });
            std::string report;
            for (const auto& violation : checker.violations())
                report += violation + "\n";
            if (report.empty() && !hasSettled) {
                report += operators->isReadBack() ? "" : "the table is not read back\n";
                for (const auto& id : checker.unfinishedJobs())
                    report += "job " + id.value() + " does not end; its state is " + checker.jobs().at(id).state + "\n";
                report += callers->hasPendingCalls() ? "calls stay without a clear answer\n" : "";
            }
            std::cerr << "soak: " << callers->submitted() << " jobs, " << callers->refused() << " refused, "
                      << checker.startedRuns() << " runs, " << faults.history().size() << " faults, " << noise.sent()
                      << " malformed messages\n";
            if (!report.empty()) {
                for (const auto& line : faults.history())
                    report += line + "\n";
            }
            return report;
        }

        boost::asio::io_context io;
        InvariantChecker checker;
        SoakWorkers workers;
        SoakCluster cluster;
        SoakFaults faults;
        SoakNoise noise;
        std::unique_ptr<SoakOperator> operators;
        std::unique_ptr<SoakCallers> callers;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTest);

} // namespace hickoryknot::soak
