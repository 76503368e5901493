#include <cmath>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include "Figures.h"
#include "Mix.h"

namespace {

using namespace hickoryknot;

/// An engine to compare, named by what differs from the whole engine.
struct Variant {
    const char* name;
    PlacementMechanisms mechanisms;
};

PlacementMechanisms none()
{
    return { .usesBestFit = false,
        .learnsEstimates = false,
        .ordersRows = false,
        .agesRows = false,
        .scoresFailures = false,
        .reservesCapacity = false,
        .backfillsReservations = false,
        .protectsAccelerators = false,
        .preemptsForUrgent = false };
}

std::vector<Variant> allVariants()
{
    PlacementMechanisms bestFit = none();
    bestFit.usesBestFit = true;
    std::vector<Variant> variants { { "engine", {} }, { "fcfs_first_fit", none() },
        { "best_fit_no_learning", bestFit } };
    const auto without = [&](const char* name, bool PlacementMechanisms::*mechanism) {
        PlacementMechanisms mechanisms;
        mechanisms.*mechanism = false;
        variants.push_back({ name, mechanisms });
    };
    without("no_best_fit", &PlacementMechanisms::usesBestFit);
    without("no_learning", &PlacementMechanisms::learnsEstimates);
    without("no_row_order", &PlacementMechanisms::ordersRows);
    without("no_aging", &PlacementMechanisms::agesRows);
    without("no_failure_scores", &PlacementMechanisms::scoresFailures);
    without("no_reservations", &PlacementMechanisms::reservesCapacity);
    without("no_backfill", &PlacementMechanisms::backfillsReservations);
    without("no_accelerator_guard", &PlacementMechanisms::protectsAccelerators);
    without("no_preemption", &PlacementMechanisms::preemptsForUrgent);
    return variants;
}

WorldResult runMix(const Mix& mix, const PlacementMechanisms& mechanisms, uint64_t seed)
{
    World world({ .seed = seed, .mechanisms = mechanisms }, mix.table, seed);
    world.setWallTime(mix.wall);
    for (size_t i = 0; i < mix.workers.size(); ++i)
        world.addWorker(mix.workers[i], mix.failsEverything[i]);
    for (const Arrival& arrival : mix.arrivals)
        world.addArrival(arrival);
    for (const Fault& fault : mix.faults)
        world.addFault(fault);
    return world.run(mix.until);
}

void printWaits(const Figures& figures, const Mix& mix, const std::string& variant, const WorldResult& result)
{
    size_t row = 0;
    for (const Row& entry : mix.table) {
        if (entry.kind != RowKind::Class)
            continue;
        const std::vector<double>& waits = result.waits[row++];
        const std::string& name = entry.name.value();
        figures.print(mix.name, variant, "wait_p50_" + name, Figures::quantile(waits, 0.5), "ms");
        figures.print(mix.name, variant, "wait_p99_" + name, Figures::quantile(waits, 0.99), "ms");
        if (entry.isUrgent)
            figures.print(mix.name, variant, "wait_max_" + name, Figures::quantile(waits, 1), "ms");
    }
}

void printCost(const Figures& figures, const Mix& mix, const std::string& variant, const WorldResult& result)
{
    figures.print(mix.name, variant, "decision_p50", Figures::quantile(result.decideMicroseconds, 0.5), "us");
    figures.print(mix.name, variant, "decision_p99", Figures::quantile(result.decideMicroseconds, 0.99), "us");
    figures.print(mix.name, variant, "no_decision_p99", Figures::quantile(result.idleMicroseconds, 0.99), "us");
    figures.print(mix.name, variant, "longest_call",
        std::max(Figures::quantile(result.decideMicroseconds, 1), Figures::quantile(result.idleMicroseconds, 1)), "us");
    figures.print(
        mix.name, variant, "decisions_per_second", static_cast<double>(result.starts) / result.engineSeconds, "1/s");
}

void printCounts(const Figures& figures, const Mix& mix, const std::string& variant, const WorldResult& result)
{
    const auto print = [&](const char* name, uint64_t value) {
        if (value)
            figures.print(mix.name, variant, name, static_cast<double>(value), "");
    };
    print("starts", result.starts);
    print("peak_running", result.peakRunning);
    print("unfinished_jobs", result.unfinishedJobs);
    print("probe_tasks", result.statistics.probeTasks);
    print("backfilled_tasks", result.statistics.backfilledTasks);
    print("preempted_tasks", result.statistics.preemptedTasks);
    print("reservations", result.statistics.reservations);
    figures.print(
        mix.name, variant, "lost_work", std::chrono::duration<double>(result.statistics.lostWork).count(), "s");
    if (result.failedCoreSeconds > 0)
        figures.print(mix.name, variant, "wasted_share",
            100 * result.failedCoreSeconds / (result.failedCoreSeconds + result.usedCoreSeconds), "%");
    if (!result.gangWaitSeconds.empty()) {
        figures.print(mix.name, variant, "gang_starts", static_cast<double>(result.gangWaitSeconds.size()), "");
        figures.print(mix.name, variant, "gang_wait_max", Figures::quantile(result.gangWaitSeconds, 1), "s");
        figures.print(mix.name, variant, "longest_batch_task", result.longestBatchSeconds, "s");
    }
}

void runVariant(const Figures& figures, const Mix& mix, const std::string& label, const PlacementMechanisms& mechanisms,
    uint64_t seed)
{
    const WorldResult result = runMix(mix, mechanisms, seed);
    printWaits(figures, mix, label, result);
    printCost(figures, mix, label, result);
    printCounts(figures, mix, label, result);
    if (mix.lowerBoundSeconds > 0) {
        const double took = std::chrono::duration<double>(result.lastEnd[0] - TimePoint(11s)).count();
        figures.print(mix.name, label, "folios_took", took, "s");
        figures.print(mix.name, label, "folios_above_lower_bound", 100 * (took / mix.lowerBoundSeconds - 1), "%");
    }
}

void runFaults(const Figures& figures, uint64_t seed)
{
    const std::pair<const char*, DesignFault> faults[] = { { "wrong_declared", DesignFault::WrongDeclarations },
        { "failing_workers", DesignFault::FailingWorkers }, { "rack_lost", DesignFault::RackLost },
        { "cancel_wave", DesignFault::CancellationWave }, { "zone_cut", DesignFault::ZoneCut } };
    for (const auto& [name, fault] : faults) {
        Mix mix = designSize(seed, 960, 80s, fault);
        mix.name = name;
        runVariant(figures, mix, "engine", {}, seed);
        runVariant(figures, mix, "fcfs_first_fit", none(), seed);
        if (fault == DesignFault::FailingWorkers)
            runVariant(figures, mix, "no_failure_scores", { .scoresFailures = false }, seed);
        if (fault == DesignFault::WrongDeclarations)
            runVariant(figures, mix, "no_learning", { .learnsEstimates = false }, seed);
    }
}

constexpr int slopeRuns = 5;

// Cost of a whole load that grows with the cell, against n log n from the smallest cell.
void runSlope(const Figures& figures, uint64_t seed)
{
    double firstPerUnit = 0;
    for (const uint32_t workers : { 50U, 200U, 960U, 4000U }) {
        Mix mix = designSize(seed, workers, 30s, DesignFault::None);
        mix.name = "slope";
        WorldResult result = runMix(mix, {}, seed);
        // The fastest of some equal runs, since other load on the machine only adds time.
        for (int repeat = 1; repeat < slopeRuns; ++repeat) {
            WorldResult other = runMix(mix, {}, seed);
            if (other.engineSeconds < result.engineSeconds)
                result = std::move(other);
        }
        const std::string label = fmt::format("{}_workers", workers);
        const double perUnit = result.engineSeconds / (workers * std::log2(workers));
        firstPerUnit = firstPerUnit > 0 ? firstPerUnit : perUnit;
        figures.print(mix.name, label, "engine_seconds", result.engineSeconds, "s");
        figures.print(mix.name, label, "cost_over_n_log_n", perUnit / firstPerUnit, "x");
        printCost(figures, mix, label, result);
    }
}

void runAllVariants(const Figures& figures, const Mix& mix, const std::string& only, uint64_t seed)
{
    for (const Variant& variant : allVariants()) {
        if (only.empty() || only == variant.name)
            runVariant(figures, mix, variant.name, variant.mechanisms, seed);
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("bench_placement", "Measures the placement engine; one line per figure.");
    options.add_options()(
        "mix", "parts, folios, design, faults, slope or all", cxxopts::value<std::string>()->default_value("all"))(
        "variant", "run only this variant of the first three mixes", cxxopts::value<std::string>()->default_value(""))(
        "seed", "seed of all mixes", cxxopts::value<unsigned long>()->default_value("1"))("commit",
        "printed with each figure", cxxopts::value<std::string>()->default_value("unknown"))("help", "print this");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help")) {
        fmt::print("{}\n", options.help());
        return 0;
    }
    const std::string mix = arguments["mix"].as<std::string>();
    const std::string only = arguments["variant"].as<std::string>();
    const unsigned long seed = arguments["seed"].as<unsigned long>();
    const Figures figures(arguments["commit"].as<std::string>(), seed);
    if (mix == "parts" || mix == "all")
        runAllVariants(figures, partsExchange(seed), only, seed);
    if (mix == "folios" || mix == "all")
        runAllVariants(figures, nightOfFolios(seed), only, seed);
    if (mix == "design" || mix == "all")
        runAllVariants(figures, designSize(seed, 960, 120s, DesignFault::None), only, seed);
    if (mix == "faults" || mix == "all")
        runFaults(figures, seed);
    if (mix == "slope" || mix == "all")
        runSlope(figures, seed);
    return 0;
}
