#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "placement/PlacementEngine.h"

namespace hickoryknot {

/// A job that arrives in a World, with what the engine is not told.
struct Arrival {
    JobDescription job;
    /// Mean run time of its tasks, whatever was declared; services run on.
    Duration actualRun { 0 };
};

/// Something that goes wrong in a World at a given time.
struct Fault {
    enum class Kind : uint8_t {
        LoseWorkers, // Workers [first, last) vanish with their tasks.
        ReturnWorkers, // They announce themselves again.
        CancelHalf, // Every second waiting job is cancelled.
    };

    TimePoint at;
    Kind kind { Kind::LoseWorkers };
    size_t first { 0 };
    size_t last { 0 };
};

/// What a World has measured.
struct WorldResult {
    /// Waiting times in milliseconds per row, in the order of the table. A later start of the same task counts anew.
    std::vector<std::vector<double>> waits;
    std::vector<TimePoint> lastEnd;
    /// Times of decide() calls that returned a decision, and of those that did not.
    std::vector<double> decideMicroseconds;
    std::vector<double> idleMicroseconds;
    double longestBatchSeconds { 0 };
    std::vector<double> gangWaitSeconds;
    uint64_t starts { 0 };
    uint64_t unfinishedJobs { 0 };
    /// Wall time in all calls of the engine.
    double engineSeconds { 0 };
    uint64_t peakRunning { 0 };
    /// Time integrals in core seconds.
    double usedCoreSeconds { 0 };
    double failedCoreSeconds { 0 };
    PlacementStatistics statistics;
};

/// Stand-in for everything around a PlacementEngine: feeds arrivals, ends, failures and faults in virtual time and
/// carries out the decisions. Deterministic by its seed but for the measured times.
class World {
public:
    World(const PlacementSettings&, const std::vector<Row>& table, uint64_t seed);

    void addWorker(const WorkerDescription&, bool failsEverything);
    void addArrival(const Arrival&);
    void addFault(const Fault& fault) { m_faults.push_back(fault); }
    void setWallTime(WallTime wall) { m_wall = wall; }

    /// Runs until nothing is left to do but services, or `until`. Decisions are taken at each event.
    WorldResult run(TimePoint until);

private:
    struct Task {
        Duration actualRun { 0 };
        TimePoint queuedAt;
        TimePoint startedAt;
        size_t worker { 0 };
        // Distinguishes this start from earlier ones in pending events.
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
        TaskEndReason end { TaskEndReason::Finished };

        friend bool operator<(const Event& a, const Event& b)
        {
            return std::tie(a.at, a.sequence) > std::tie(b.at, b.sequence);
        }
    };

    template <typename Call> void measured(Call&&);
    TimePoint nextTime(TimePoint until) const;
    void submitDue();
    void endDue();
    void applyFaults();
    void applyFault(const Fault&);
    void end(size_t job, uint32_t task, TaskEndReason);
    void decide();
    void carryOut(const Decision&);
    void startTask(size_t job, uint32_t task, size_t worker);
    size_t jobOf(JobHandle handle) const { return m_jobOfSlot[handle.slot]; }

    pcg32 m_random;
    PlacementEngine m_engine;
    std::vector<RowName> m_rows;
    std::vector<WorkerDescription> m_workers;
    std::vector<bool> m_failsEverything;
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
    TimePoint m_nextHeartbeat;
    uint64_t m_running { 0 };
    uint64_t m_openTasks { 0 };
    WorldResult m_result;
};

} // namespace hickoryknot
