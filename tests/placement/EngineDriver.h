#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "placement/PlacementEngine.h"

namespace hickoryknot {

/// Drives an engine in tests with a table, workers, jobs and virtual time, and checks the invariants on every decision.
class EngineDriver {
public:
    struct Running {
        std::string worker;
        Resources need;
        TimePoint startedAt;
    };
    using TaskKey = std::pair<uint32_t, uint32_t>; // Job slot and task index.

    explicit EngineDriver(PlacementSettings settings = {})
        : engine(settings)
    {
    }

    static Resources resources(int64_t cores, int64_t gibibytes, int64_t accelerators = 0)
    {
        return { Millicores(cores * 1000), Mebibytes(gibibytes * 1024), Accelerators(accelerators) };
    }

    static Row row(const std::string& name, uint32_t priority = 50)
    {
        Row result;
        result.name = RowName(name);
        result.priority = priority;
        result.waitBound = std::chrono::hours(1);
        return result;
    }

    static Row team(const std::string& name, Resources quota)
    {
        Row result;
        result.name = RowName(name);
        result.kind = RowKind::Team;
        result.quota = quota;
        return result;
    }

    void addWorker(const std::string& name, Resources capacity, const std::string& rack = "r1", bool isLeaving = false)
    {
        capacities[name] = capacity;
        racks[name] = rack;
        engine.upsertWorker({ WorkerId(name), ZoneId("z1"), RackId(rack), capacity, isLeaving }, now);
    }

    void addWorkers(uint32_t count, Resources capacity, uint32_t perRack = 8)
    {
        for (uint32_t i = 0; i < count; ++i)
            addWorker("w" + std::to_string(i), capacity, "r" + std::to_string(i / perRack));
    }

    JobDescription job(const std::string& rowName, uint32_t tasks, Resources need, Duration run = 60s)
    {
        JobDescription description;
        description.job = JobId("job-" + std::to_string(++submittedJobs));
        description.row = RowName(rowName);
        description.team = TeamId("team-a");
        description.tasks = tasks;
        description.perTask = need;
        description.expectedRun = run;
        description.submittedAt = now;
        return description;
    }

    JobHandle submit(const JobDescription& description)
    {
        const auto handle = engine.submitJob(description, now);
        CPPUNIT_ASSERT_MESSAGE(handle ? "" : handle.error().message, handle.has_value());
        needs[handle->slot] = description.perTask;
        return *handle;
    }

    /// Calls decide() until it returns no more decisions; applies and checks each one.
    std::vector<Decision> decide(size_t perCall = 64)
    {
        std::vector<Decision> all;
        for (int call = 0; call < 200; ++call) {
            std::vector<Decision> decisions;
            engine.decide(now, wall + (now - TimePoint()), perCall, decisions);
            for (const Decision& decision : decisions)
                applyDecision(decision);
            all.insert(all.end(), decisions.begin(), decisions.end());
            if (decisions.empty())
                break;
        }
        return all;
    }

    void end(TaskKey key, TaskEndReason reason)
    {
        const auto entry = running.find(key);
        CPPUNIT_ASSERT(entry != running.end());
        const Running task = entry->second;
        running.erase(entry);
        used[task.worker] -= task.need;
        stopping.erase(key);
        engine.onTaskEnd(handles[key.first], key.second, reason, now - task.startedAt, now);
    }

    /// Ends the tasks of all Preempt decisions so far.
    void endPreemptedTasks()
    {
        const std::map<TaskKey, bool> tasks = stopping;
        for (const auto& [key, isStopping] : tasks)
            end(key, TaskEndReason::Preempted);
    }

    uint32_t runningTasks(JobHandle handle) const
    {
        uint32_t count = 0;
        for (const auto& [key, task] : running)
            count += key.first == handle.slot;
        return count;
    }

    std::string explain(JobHandle handle) const { return engine.explain(handle, now, wall + (now - TimePoint())); }

    PlacementEngine engine;
    TimePoint now { 1s };
    WallTime wall {}; // Midnight UTC.
    uint32_t submittedJobs { 0 };
    std::map<std::string, Resources> capacities;
    std::map<std::string, std::string> racks;
    std::map<std::string, Resources> used;
    std::map<uint32_t, Resources> needs;
    std::map<uint32_t, JobHandle> handles;
    std::map<TaskKey, Running> running;
    std::map<TaskKey, bool> stopping;

private:
    void applyDecision(const Decision& decision)
    {
        const TaskKey key { decision.job.slot, decision.taskIndex };
        handles[decision.job.slot] = decision.job;
        if (decision.kind == DecisionKind::Preempt) {
            CPPUNIT_ASSERT(running.contains(key));
            stopping[key] = true;
        }
        if (decision.kind != DecisionKind::Place)
            return;
        const std::string& worker = decision.worker.value();
        CPPUNIT_ASSERT_MESSAGE("a task was placed twice", !running.contains(key));
        running[key] = { worker, needs[key.first], now };
        used[worker] += needs[key.first];
        CPPUNIT_ASSERT_MESSAGE(worker + " is overcommitted", used[worker].fitsInto(capacities[worker]));
    }
};

/// Fails unless `text` contains each of `parts`.
inline void assertContains(const std::string& text, const std::vector<std::string>& parts)
{
    for (const std::string& part : parts)
        CPPUNIT_ASSERT_MESSAGE("\"" + part + "\" is missing in: " + text, text.find(part) != std::string::npos);
}

} // namespace hickoryknot
