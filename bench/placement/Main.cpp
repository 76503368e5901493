#include <cmath>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include "MeasurementPrinter.h"
#include "Workload.h"

namespace {

using namespace hickoryknot;

/// An engine configuration to compare, named after its difference from the full engine.
struct Variant {
    const char* name;
    PlacementMechanisms mechanisms;
};

PlacementMechanisms noMechanisms()
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
    PlacementMechanisms bestFit = noMechanisms();
    bestFit.usesBestFit = true;
    std::vector<Variant> variants { { "engine", {} }, { "fcfs_first_fit", noMechanisms() },
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

SimulationResult runWorkload(const Workload& workload, const PlacementMechanisms& mechanisms, uint64_t seed)
{
    ClusterSimulation simulation({ .seed = seed, .mechanisms = mechanisms }, workload.table, seed);
    simulation.setWallTime(workload.wall);
    for (size_t i = 0; i < workload.workers.size(); ++i)
        simulation.addWorker(workload.workers[i], workload.failsAllTasks[i]);
    for (const Arrival& arrival : workload.arrivals)
        simulation.addArrival(arrival);
    for (const Fault& fault : workload.faults)
        simulation.addFault(fault);
    return simulation.run(workload.until);
}

void printWaits(const MeasurementPrinter& printer, const Workload& workload, const std::string& variant,
    const SimulationResult& result)
{
    size_t row = 0;
    for (const Row& entry : workload.table) {
        if (entry.kind != RowKind::Class)
            continue;
        const std::vector<double>& waits = result.waits[row++];
        const std::string& name = entry.name.value();
        printer.print(workload.name, variant, "wait_p50_" + name, MeasurementPrinter::quantile(waits, 0.5), "ms");
        printer.print(workload.name, variant, "wait_p99_" + name, MeasurementPrinter::quantile(waits, 0.99), "ms");
        if (entry.isUrgent)
            printer.print(workload.name, variant, "wait_max_" + name, MeasurementPrinter::quantile(waits, 1), "ms");
    }
}

void printCost(const MeasurementPrinter& printer, const Workload& workload, const std::string& variant,
    const SimulationResult& result)
{
    printer.print(
        workload.name, variant, "decision_p50", MeasurementPrinter::quantile(result.decideMicroseconds, 0.5), "us");
    printer.print(
        workload.name, variant, "decision_p99", MeasurementPrinter::quantile(result.decideMicroseconds, 0.99), "us");
    printer.print(
        workload.name, variant, "no_decision_p99", MeasurementPrinter::quantile(result.idleMicroseconds, 0.99), "us");
    printer.print(workload.name, variant, "longest_call",
        std::max(MeasurementPrinter::quantile(result.decideMicroseconds, 1),
            MeasurementPrinter::quantile(result.idleMicroseconds, 1)),
        "us");
    printer.print(workload.name, variant, "decisions_per_second",
        static_cast<double>(result.starts) / result.engineSeconds, "1/s");
}

void printCounts(const MeasurementPrinter& printer, const Workload& workload, const std::string& variant,
    const SimulationResult& result)
{
    const auto print = [&](const char* name, uint64_t value) {
        if (value)
            printer.print(workload.name, variant, name, static_cast<double>(value), "");
    };
    print("starts", result.starts);
    print("peak_running", result.peakRunning);
    print("unfinished_jobs", result.unfinishedJobs);
    print("probe_tasks", result.statistics.probeTasks);
    print("backfilled_tasks", result.statistics.backfilledTasks);
    print("preempted_tasks", result.statistics.preemptedTasks);
    print("reservations", result.statistics.reservations);
    printer.print(
        workload.name, variant, "lost_work", std::chrono::duration<double>(result.statistics.lostWork).count(), "s");
    if (result.failedCoreSeconds > 0)
        printer.print(workload.name, variant, "wasted_share",
            100 * result.failedCoreSeconds / (result.failedCoreSeconds + result.usedCoreSeconds), "%");
    if (!result.gangWaitSeconds.empty()) {
        printer.print(workload.name, variant, "gang_starts", static_cast<double>(result.gangWaitSeconds.size()), "");
        printer.print(
            workload.name, variant, "gang_wait_max", MeasurementPrinter::quantile(result.gangWaitSeconds, 1), "s");
        printer.print(workload.name, variant, "longest_batch_task", result.longestBatchSeconds, "s");
    }
}

void runVariant(const MeasurementPrinter& printer, const Workload& workload, const std::string& label,
    const PlacementMechanisms& mechanisms, uint64_t seed)
{
    const SimulationResult result = runWorkload(workload, mechanisms, seed);
    printWaits(printer, workload, label, result);
    printCost(printer, workload, label, result);
    printCounts(printer, workload, label, result);
    if (workload.lowerBoundSeconds > 0) {
        const double took = std::chrono::duration<double>(result.lastEnd[0] - TimePoint(11s)).count();
        printer.print(workload.name, label, "folios_took", took, "s");
        printer.print(
            workload.name, label, "folios_above_lower_bound", 100 * (took / workload.lowerBoundSeconds - 1), "%");
    }
}

void runFaults(const MeasurementPrinter& printer, uint64_t seed)
{
    const std::pair<const char*, DesignFault> faults[] = { { "wrong_declared", DesignFault::WrongDeclarations },
        { "failing_workers", DesignFault::FailingWorkers }, { "rack_lost", DesignFault::RackLost },
        { "cancel_wave", DesignFault::CancellationWave }, { "zone_cut", DesignFault::ZoneCut } };
    for (const auto& [name, fault] : faults) {
        Workload workload = designSizeWorkload(seed, 960, 80s, fault);
        workload.name = name;
        runVariant(printer, workload, "engine", {}, seed);
        runVariant(printer, workload, "fcfs_first_fit", noMechanisms(), seed);
        if (fault == DesignFault::FailingWorkers)
            runVariant(printer, workload, "no_failure_scores", { .scoresFailures = false }, seed);
        if (fault == DesignFault::WrongDeclarations)
            runVariant(printer, workload, "no_learning", { .learnsEstimates = false }, seed);
    }
}

constexpr int scalingRuns = 5;

// Cost of the whole workload for growing cells, relative to n log n extrapolated from the smallest cell.
void runScaling(const MeasurementPrinter& printer, uint64_t seed)
{
    double firstPerUnit = 0;
    for (const uint32_t workers : { 50U, 200U, 960U, 4000U }) {
        Workload workload = designSizeWorkload(seed, workers, 30s, DesignFault::None);
        workload.name = "slope";
        SimulationResult result = runWorkload(workload, {}, seed);
        // Takes the fastest of several equal runs, because other load on the machine only adds time.
        for (int repeat = 1; repeat < scalingRuns; ++repeat) {
            SimulationResult other = runWorkload(workload, {}, seed);
            if (other.engineSeconds < result.engineSeconds)
                result = std::move(other);
        }
        const std::string label = fmt::format("{}_workers", workers);
        const double perUnit = result.engineSeconds / (workers * std::log2(workers));
        firstPerUnit = firstPerUnit > 0 ? firstPerUnit : perUnit;
        printer.print(workload.name, label, "engine_seconds", result.engineSeconds, "s");
        printer.print(workload.name, label, "cost_over_n_log_n", perUnit / firstPerUnit, "x");
        printCost(printer, workload, label, result);
    }
}

void runAllVariants(const MeasurementPrinter& printer, const Workload& workload, const std::string& only, uint64_t seed)
{
    for (const Variant& variant : allVariants()) {
        if (only.empty() || only == variant.name)
            runVariant(printer, workload, variant.name, variant.mechanisms, seed);
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
    const std::string workload = arguments["mix"].as<std::string>();
    const std::string only = arguments["variant"].as<std::string>();
    const unsigned long seed = arguments["seed"].as<unsigned long>();
    const MeasurementPrinter printer(arguments["commit"].as<std::string>(), seed);
    if (workload == "parts" || workload == "all")
        runAllVariants(printer, partsExchangeWorkload(seed), only, seed);
    if (workload == "folios" || workload == "all")
        runAllVariants(printer, overnightFoliosWorkload(seed), only, seed);
    if (workload == "design" || workload == "all")
        runAllVariants(printer, designSizeWorkload(seed, 960, 120s, DesignFault::None), only, seed);
    if (workload == "faults" || workload == "all")
        runFaults(printer, seed);
    if (workload == "slope" || workload == "all")
        runScaling(printer, seed);
    return 0;
}
