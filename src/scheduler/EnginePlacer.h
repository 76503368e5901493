#pragma once

#include "scheduler/Placer.h"

namespace hickoryknot {

/// Placer that forwards to a PlacementEngine.
class EnginePlacer final : public Placer {
public:
    explicit EnginePlacer(PlacementSettings settings)
        : m_engine(settings)
    {
    }

    void setTable(const std::vector<Row>& rows) override { m_engine.setTable(rows); }
    void upsertWorker(const WorkerDescription& worker, TimePoint now) override { m_engine.upsertWorker(worker, now); }
    void removeWorker(const WorkerId& worker) override { m_engine.removeWorker(worker); }
    Expected<JobHandle> submitJob(const JobDescription& job, TimePoint now) override
    {
        return m_engine.submitJob(job, now);
    }
    void cancelJob(JobHandle job) override { m_engine.cancelJob(job); }
    void removeJob(JobHandle job) override { m_engine.removeJob(job); }
    void adoptTask(JobHandle job, uint32_t taskIndex, const WorkerId& worker, TimePoint startedAt) override
    {
        m_engine.adoptTask(job, taskIndex, worker, startedAt);
    }
    void decide(TimePoint now, WallTime wall, size_t maxDecisions, std::vector<Decision>& decisions) override
    {
        m_engine.decide(now, wall, maxDecisions, decisions);
    }
    void onTaskEnd(JobHandle job, uint32_t taskIndex, TaskEndReason end, Duration runTime, TimePoint now) override
    {
        m_engine.onTaskEnd(job, taskIndex, end, runTime, now);
    }
    void onUsageReport(JobHandle job, uint32_t taskIndex, const Resources& used, TimePoint now) override
    {
        m_engine.onUsageReport(job, taskIndex, used, now);
    }
    std::string explain(JobHandle job, TimePoint now, WallTime wall) const override
    {
        return m_engine.explain(job, now, wall);
    }
    Resources freeCapacity() const override { return m_engine.freeCapacity(); }

    const PlacementEngine& engine() const { return m_engine; }

private:
    PlacementEngine m_engine;
};

} // namespace hickoryknot
