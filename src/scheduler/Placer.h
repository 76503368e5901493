#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Error.h"
#include "placement/PlacementEngine.h"

namespace hickoryknot {

/// Interface of a placement engine as ZoneScheduler uses it. See PlacementEngine for the meaning of each call.
class Placer {
public:
    virtual ~Placer() = default;

    virtual void setTable(const std::vector<Row>&) = 0;
    virtual void upsertWorker(const WorkerDescription&, TimePoint now) = 0;
    virtual void removeWorker(const WorkerId&) = 0;
    virtual Expected<JobHandle> submitJob(const JobDescription&, TimePoint now) = 0;
    virtual void cancelJob(JobHandle) = 0;
    virtual void removeJob(JobHandle) = 0;
    virtual void adoptTask(JobHandle, uint32_t taskIndex, const WorkerId&, TimePoint startedAt) = 0;
    virtual void decide(TimePoint now, WallTime wall, size_t maxDecisions, std::vector<Decision>&) = 0;
    virtual void onTaskEnd(JobHandle, uint32_t taskIndex, TaskEndReason, Duration runTime, TimePoint now) = 0;
    virtual void onUsageReport(JobHandle, uint32_t taskIndex, const Resources& used, TimePoint now) = 0;
    virtual std::string explain(JobHandle, TimePoint now, WallTime wall) const = 0;
    virtual Resources freeCapacity() const = 0;
};

} // namespace hickoryknot
