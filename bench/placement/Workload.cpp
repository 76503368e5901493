#include "Workload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace hickoryknot {

namespace {

constexpr TimePoint start { 0s };
// The workers register this long before the first job, so that nothing waits for the refusal grace period.
constexpr TimePoint loadStart { 11s };
// Number of teams in the design-size workload with a quota of one thousandth of the cell.
constexpr uint32_t smallQuotaTeams = 10;

/// Generates arrivals from one seeded random source.
class ArrivalGenerator {
public:
    explicit ArrivalGenerator(uint64_t seed)
        : m_random(seed)
    {
    }

    uint32_t below(uint32_t limit) { return m_random(limit); }
    double uniform() { return (m_random(1u << 24) + 0.5) / (1u << 24); }
    Duration between(Duration low, Duration high)
    {
        return low + Duration(static_cast<int64_t>(uniform() * static_cast<double>((high - low).count())));
    }
    /// Interval between two arrivals of a Poisson process.
    Duration nextInterval(double perSecond)
    {
        return Duration(static_cast<int64_t>(-std::log(uniform()) / perSecond * 1e6) + 1);
    }

    Arrival& add(Workload& workload, const std::string& row, TimePoint at, uint32_t tasks, Resources need, Duration run)
    {
        Arrival arrival;
        arrival.job.job = JobId("j" + std::to_string(workload.arrivals.size()));
        arrival.job.row = RowName(row);
        arrival.job.team = TeamId("shared");
        arrival.job.tasks = tasks;
        arrival.job.perTask = need;
        arrival.job.expectedRun = run;
        arrival.job.submittedAt = at;
        arrival.actualRun = run;
        workload.arrivals.push_back(arrival);
        return workload.arrivals.back();
    }

private:
    pcg32 m_random;
};

Resources size(int64_t millicores, int64_t mebibytes, int64_t accelerators = 0)
{
    return { Millicores(millicores), Mebibytes(mebibytes), Accelerators(accelerators) };
}

Row classRow(const char* name, uint32_t priority, Duration waitBound)
{
    Row row;
    row.name = RowName(name);
    row.priority = priority;
    row.waitBound = waitBound;
    return row;
}

void addWorkers(Workload& workload, uint32_t count, uint32_t withAccelerators)
{
    for (uint32_t i = 0; i < count; ++i) {
        // One in count / withAccelerators workers has four accelerators.
        const bool hasAccelerators
            = uint64_t { i } * withAccelerators / count != (uint64_t { i } + 1) * withAccelerators / count;
        workload.workers.push_back({ WorkerId("w" + std::to_string(i)), ZoneId("z1"),
            RackId("r" + std::to_string(i / 8)), size(16000, 32768, hasAccelerators ? 4 : 0), false });
        workload.failsAllTasks.push_back(false);
    }
}

// Total demand of the row over the cell's capacity in seconds, for the scarcer of processors and memory.
double lowerBound(const Workload& workload, const RowName& row)
{
    double coreSeconds = 0;
    double mebibyteSeconds = 0;
    for (const Arrival& arrival : workload.arrivals) {
        if (arrival.job.row != row)
            continue;
        const double seconds = std::chrono::duration<double>(arrival.actualRun).count() * arrival.job.tasks;
        coreSeconds += seconds * static_cast<double>(arrival.job.perTask.millicores.count()) / 1000;
        mebibyteSeconds += seconds * static_cast<double>(arrival.job.perTask.mebibytes.count());
    }
    const auto workers = static_cast<double>(workload.workers.size());
    return std::max(coreSeconds / (workers * 16), mebibyteSeconds / (workers * 32768));
}

// Declares run times that are wrong by up to a factor of ten in either direction, uniformly on a log scale.
void declareWrongRunTimes(Workload& workload, ArrivalGenerator& generator)
{
    for (Arrival& arrival : workload.arrivals) {
        const double factor = std::pow(10.0, 2 * generator.uniform() - 1);
        const double declared = std::chrono::duration<double>(arrival.job.expectedRun).count() * factor;
        arrival.job.expectedRun = Duration(static_cast<int64_t>(declared * 1e6));
    }
}

void addDesignFault(Workload& workload, ArrivalGenerator& generator, DesignFault fault)
{
    const TimePoint middle = start + (workload.until - start) / 3;
    const size_t third = workload.workers.size() / 3;
    switch (fault) {
    case DesignFault::None:
        break;
    case DesignFault::WrongDeclarations:
        declareWrongRunTimes(workload, generator);
        break;
    case DesignFault::FailingWorkers:
        for (size_t i = 0; i < workload.workers.size(); i += 20)
            workload.failsAllTasks[i] = true;
        break;
    case DesignFault::RackLost:
        workload.faults.push_back({ middle, Fault::Kind::LoseWorkers, 8, 16 });
        break;
    case DesignFault::CancellationWave:
        workload.faults.push_back({ middle, Fault::Kind::CancelHalf, 0, 0 });
        break;
    case DesignFault::ZoneCut:
        workload.faults.push_back({ middle, Fault::Kind::LoseWorkers, 0, third });
        workload.faults.push_back({ middle + 20s, Fault::Kind::ReturnWorkers, 0, third });
        break;
    }
}

void addDesignBatchJobs(Workload& workload, ArrivalGenerator& generator, double scale, TimePoint end)
{
    // A mean run time of 5.1 s and 580 starts/s keep 2,960 batch tasks running.
    static constexpr std::array<int64_t, 6> cores { 1, 2, 3, 4, 5, 7 };
    for (TimePoint at = loadStart; at < end;) {
        const uint32_t tasks = 1 + generator.below(9);
        const int64_t need = cores[generator.below(cores.size())];
        // These tasks use a third of the accelerators.
        const bool isAccelerated = generator.below(50) == 0;
        const uint32_t team = generator.below(140);
        // Jobs of teams with a small quota wait for that quota, so they are in a separate row.
        const char* row = team < smallQuotaTeams ? "bounded" : generator.below(3) ? "batch" : "analysis";
        Arrival& arrival = generator.add(workload, row, at, tasks,
            size(need * 1000, need * 1024 + int64_t { generator.below(5) } * 512, isAccelerated ? 1 : 0),
            generator.between(1s, 9200ms));
        arrival.job.team = TeamId("team" + std::to_string(team));
        at += generator.nextInterval(580 * scale / 5);
    }
}

} // namespace

Workload partsExchangeWorkload(uint64_t seed)
{
    Workload workload;
    workload.name = "parts";
    Row catalogue = classRow("catalogue", 20, std::chrono::hours(1));
    catalogue.isPreemptible = true;
    workload.table = { classRow("counters", 90, 5s), classRow("matches", 70, 60s), catalogue };
    workload.until = start + 1200s;
    addWorkers(workload, 50, 0);
    ArrivalGenerator generator(seed);
    const TimePoint end = loadStart + 540s;
    // Average load: lookups 144 cores, matches 216 cores, catalogue 360 cores, of 800 cores: 90%.
    for (TimePoint at = loadStart; at < end; at += generator.nextInterval(960))
        generator.add(workload, "counters", at, 1, size(1000, 1024), generator.between(50ms, 250ms));
    for (TimePoint at = loadStart; at < end; at += generator.nextInterval(24)) {
        Arrival& match = generator.add(workload, "matches", at, 1, size(2000, 4096), generator.between(1s, 8s));
        match.job.repeatable = false;
    }
    // The catalogue is submitted as one large job every 3 minutes: 405 tasks of 4 cores and 40 s.
    for (TimePoint at = loadStart + 10s; at < end; at += 180s)
        generator.add(workload, "catalogue", at, 405, size(4000, 6144), 40s);
    return workload;
}

Workload overnightFoliosWorkload(uint64_t seed)
{
    Workload workload;
    workload.name = "folios";
    Row folios = classRow("folios", 50, std::chrono::hours(12));
    folios.hours = { 22 * 60, 6 * 60 };
    Row passes = classRow("passes", 10, std::chrono::hours(24));
    passes.hours = folios.hours;
    // Peeks start at once, if necessary by preempting the folio or pass that started last.
    Row peeks = classRow("peeks", 95, 8s);
    peeks.isUrgent = true;
    folios.isPreemptible = true;
    passes.isPreemptible = true;
    workload.table = { folios, passes, peeks };
    // 11 s before 22:00, so that the hours open when the load begins.
    workload.wall = WallTime(std::chrono::hours(24 + 22) - 11s);
    workload.until = start + std::chrono::hours(14);
    addWorkers(workload, 50, 0);
    ArrivalGenerator generator(seed);
    // About 85% of 800 cores for eight hours, in steps of half a core and 256 MiB.
    for (int i = 0; i < 260; ++i) {
        const int64_t halfCores = 1 + generator.below(12);
        generator.add(workload, "folios", loadStart, 4 + generator.below(12),
            size(halfCores * 500, halfCores * 768 + int64_t { generator.below(8) } * 256),
            generator.between(std::chrono::minutes(10), std::chrono::minutes(70)));
    }
    workload.lowerBoundSeconds = lowerBound(workload, RowName("folios"));
    for (int i = 0; i < 100; ++i)
        generator.add(workload, "passes", loadStart, 2, size(1000, 1024), std::chrono::minutes(10));
    for (TimePoint at = loadStart; at < loadStart + std::chrono::hours(8); at += generator.nextInterval(0.05))
        generator.add(workload, "peeks", at, 1, size(500, 512), generator.between(1s, 5s));
    return workload;
}

Workload designSizeWorkload(uint64_t seed, uint32_t workers, Duration length, DesignFault fault)
{
    Workload workload;
    workload.name = "design";
    const double scale = workers / 960.0;
    Row batch = classRow("batch", 50, 60s);
    batch.isPreemptible = true;
    Row analysis = classRow("analysis", 40, 120s);
    analysis.isPreemptible = true;
    Row urgent = classRow("urgent", 50, 8s);
    urgent.isUrgent = true;
    workload.table = { batch, analysis, classRow("web", 80, 5s), urgent, classRow("gangs", 50, 60s),
        classRow("bounded", 50, 600s) };
    for (uint32_t team = 0; team < 140; ++team) {
        Row quota;
        quota.kind = RowKind::Team;
        quota.name = RowName("team" + std::to_string(team));
        // A tenth of the cell each, except for the teams with a small quota.
        quota.quota = size(static_cast<int64_t>(workers) * (team < smallQuotaTeams ? 16 : 1600) + 8000, 0);
        workload.table.push_back(quota);
    }
    const TimePoint end = loadStart + length;
    workload.until = end + 60s;
    // 275 of 960 workers with four accelerators each make 1,100 accelerators.
    addWorkers(workload, workers, workers * 275 / 960);
    ArrivalGenerator generator(seed);
    // 74 services of 10 tasks make 740 of the 3,700 running tasks.
    for (uint32_t i = 0; i < std::max(74 * scale, 1.0); ++i)
        generator.add(workload, "web", loadStart, 10, size(int64_t { 2 + generator.below(5) } * 1000, 6144), 0s)
            .job.kind
            = JobKind::Service;
    addDesignBatchJobs(workload, generator, scale, end);
    for (TimePoint at = loadStart; at < end; at += generator.nextInterval(1))
        generator.add(workload, "urgent", at, 1 + generator.below(3), size(4000, 8192), generator.between(1s, 5s));
    // Every 40 s, a gang that needs a quarter of the cell's processors.
    for (TimePoint at = loadStart + 15s; at < end; at += 40s)
        generator.add(workload, "gangs", at, workers, size(4000, 6144), 5s).job.kind = JobKind::Gang;
    addDesignFault(workload, generator, fault);
    return workload;
}

} // namespace hickoryknot
