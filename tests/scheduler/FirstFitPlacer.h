#pragma once

#include <map>
#include <vector>

#include "scheduler/Placer.h"

namespace hickoryknot {

/// First-fit placement in place of the engine: each queued task goes to the first worker with free capacity; a gang is
/// placed as a whole or not at all.
class FirstFitPlacer : public Placer {
public:
    void setTable(const std::vector<Row>&) override { }
    void upsertWorker(const WorkerDescription& worker, TimePoint) override { m_workers[worker.worker].first = worker; }
    void removeWorker(const WorkerId& worker) override { m_workers.erase(worker); }
    Expected<JobHandle> submitJob(const JobDescription& job, TimePoint) override
    {
        m_jobs.push_back({ .description = job, .workers = std::vector<WorkerId>(job.tasks), .isDone = {} });
        m_jobs.back().isDone.resize(job.tasks);
        return JobHandle { .slot = static_cast<uint32_t>(m_jobs.size() - 1), .generation = 1 };
    }
    void cancelJob(JobHandle job) override { m_jobs[job.slot].isCancelled = true; }
    void removeJob(JobHandle job) override { m_jobs[job.slot].isCancelled = true; }
    void adoptTask(JobHandle job, uint32_t task, const WorkerId& worker, TimePoint) override
    {
        m_jobs[job.slot].workers[task] = worker;
        m_workers[worker].second += m_jobs[job.slot].description.perTask;
    }
    void onTaskEnd(JobHandle handle, uint32_t task, TaskEndReason end, Duration, TimePoint) override
    {
        Job& job = m_jobs[handle.slot];
        const bool isOver = end == TaskEndReason::Finished && job.description.kind != JobKind::Service;
        if (job.workers[task].isEmpty()) {
            job.isDone[task] = job.isDone[task] || end == TaskEndReason::Finished;
            return;
        }
        m_workers[job.workers[task]].second -= job.description.perTask;
        job.workers[task] = {};
        job.isDone[task] = isOver;
    }
    void onUsageReport(JobHandle, uint32_t, const Resources&, TimePoint) override { }
    std::string explain(JobHandle, TimePoint, WallTime) const override { return "First fit."; }
    Resources freeCapacity() const override
    {
        Resources free;
        for (const auto& [id, worker] : m_workers) {
            if (!worker.first.isLeaving)
                free += worker.first.capacity - worker.second;
        }
        return free;
    }

    void decide(TimePoint, WallTime, size_t, std::vector<Decision>& decisions) override
    {
        for (uint32_t slot = 0; slot < m_jobs.size(); ++slot) {
            Job& job = m_jobs[slot];
            std::vector<std::pair<uint32_t, WorkerId>> placed;
            bool isWhole = true;
            for (uint32_t task = 0; task < job.workers.size() && !job.isCancelled; ++task) {
                if (!job.workers[task].isEmpty() || job.isDone[task])
                    continue;
                const WorkerId worker = findWorkerFor(job.description.perTask);
                isWhole = isWhole && !worker.isEmpty();
                if (!worker.isEmpty()) {
                    m_workers[worker].second += job.description.perTask;
                    placed.emplace_back(task, worker);
                }
            }
            if (!isWhole && job.description.kind == JobKind::Gang) {
                for (const auto& [task, worker] : placed)
                    m_workers[worker].second -= job.description.perTask;
                continue;
            }
            for (const auto& [task, worker] : placed) {
                job.workers[task] = worker;
                decisions.push_back({ .kind = DecisionKind::Place,
                    .job = { .slot = slot, .generation = 1 },
                    .taskIndex = task,
                    .worker = worker });
            }
        }
    }

private:
    struct Job {
        JobDescription description;
        std::vector<WorkerId> workers;
        std::vector<bool> isDone;
        bool isCancelled { false };
    };

    WorkerId findWorkerFor(const Resources& demand) const
    {
        for (const auto& [id, worker] : m_workers) {
            const bool fits = (worker.second + demand).fitsInto(worker.first.capacity);
            if (!worker.first.worker.isEmpty() && !worker.first.isLeaving && fits)
                return id;
        }
        return {};
    }

    // Description and allocated capacity.
    std::map<WorkerId, std::pair<WorkerDescription, Resources>> m_workers;
    std::vector<Job> m_jobs;
};

} // namespace hickoryknot
