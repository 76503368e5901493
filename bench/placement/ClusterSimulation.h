#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "placement/PlacementEngine.h"

namespace hickoryknot {

/// A job that is submitted in the simulation, with details that are hidden from the engine.
struct Arrival {
    JobDescription job;
    /// Mean run time of its tasks, regardless of the declared one; services run until stopped.
    Duration actualRun { 0 };
};

/// A fault at a given time of the simulation.
struct Fault {
    enum class Kind : uint8_t {
        LoseWorkers, // Workers [first, last) are lost with their tasks.
        ReturnWorkers, // These workers register again.
        CancelHalf, // Every second queued job is cancelled.
    };

    TimePoint at;
    Kind kind { Kind::LoseWorkers };
    size_t first { 0 };
    size_t last { 0 };
};

/// Measurements of a simulation.
struct SimulationResult {
    /// Wait times in milliseconds per row, in table order. Each restart of a task is counted as a new wait.
    std::vector<std::vector<double>> waits;
    std::vector<TimePoint> lastEnd;
    /// Durations of decide() calls with and without decisions.
    std::vector<double> decideMicroseconds;
    std::vector<double> idleMicroseconds;
    double longestBatchSeconds { 0 };
    std::vector<double> gangWaitSeconds;
    uint64_t starts { 0 };
    uint64_t unfinishedJobs { 0 };
    /// Real time spent in all calls of the engine.
    double engineSeconds { 0 };
    uint64_t peakRunning { 0 };
    /// Integrals over time in core seconds.
    double usedCoreSeconds { 0 };
    double failedCoreSeconds { 0 };
    PlacementStatistics statistics;
};

/// Simulates everything around a PlacementEngine in virtual time: arrivals, task ends, failures and faults; applies the
/// decisions. Deterministic for a given seed, except for the measured durations.
class ClusterSimulation {
public:
    ClusterSimulation(const PlacementSettings&, const std::vector<Row>& table, uint64_t seed);

    void addWorker(const WorkerDescription&, bool failsAllTasks);
    void addArrival(const Arrival&);
    void addFault(const Fault& fault) { m_faults.push_back(fault); }
    void setWallTime(WallTime wall) { m_wall = wall; }

    /// Runs until only services remain, or until `until`. Calls decide() after each event.
    SimulationResult run(TimePoint until);

private:
    struct Task {
        Duration actualRun { 0 };
        TimePoint queuedAt;
        TimePoint startedAt;
        size_t worker { 0 };
        // Distinguishes events of this start from events of earlier ones.
        uint32_t starts { 0 };
        bool isRunning { false };
        bool isStopping { false };
    };

    struct Job {
        Arrival arrival;
        JobHandle handle;
        size_t row { 0 };
        std::vector<Task> tasks;
        bool isOver { false };
    };

    struct Event {
        TimePoint at;
        uint64_t sequence { 0 };
        size_t job { 0 };
        uint32_t task { 0 };
        uint32_t starts { 0 };
        TaskEndReason reason { TaskEndReason::Finished };

        friend bool operator<(const Event& a, const Event& b)
        {
            return std::tie(a.at, a.sequence) > std::tie(b.at, b.sequence);
        }
    };

    template <typename Call> void measure(Call&&);
    TimePoint nextEventTime(TimePoint until) const;
    void submitArrivals();
    void endTasks();
    void applyFaults();
    void applyFault(const Fault&);
    void endTask(size_t job, uint32_t task, TaskEndReason);
    void decide();
    void applyDecision(const Decision&);
    void startTask(size_t job, uint32_t task, size_t worker);
    size_t jobOf(JobHandle handle) const { return m_jobOfSlot[handle.slot]; }

    pcg32 m_random;
    PlacementEngine m_engine;
    std::vector<RowName> m_rows;
    std::vector<WorkerDescription> m_workers;
    std::vector<bool> m_failsAllTasks;
    std::vector<Job> m_jobs;
    std::vector<size_t> m_order;
    size_t m_nextArrival { 0 };
    std::vector<size_t> m_jobOfSlot;
    std::vector<Fault> m_faults;
    size_t m_nextFault { 0 };
    std::vector<Event> m_events;
    uint64_t m_nextSequence { 0 };
    std::vector<Decision> m_decisions;
    TimePoint m_now;
    WallTime m_wall {};
    TimePoint m_nextDecideAt;
    uint64_t m_running { 0 };
    uint64_t m_openTasks { 0 };
    SimulationResult m_result;
};

} // namespace hickoryknot
