#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/Resources.h"
#include "workflow/WorkerIncarnation.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Recorded description of a worker, with which a new leader can use it before its next report.
struct WorkerProfile {
    WorkerIncarnation incarnation;
    PoolName pool;
    ZoneId zone;
    RackId rack;
    std::vector<std::string> labels;
    Resources capacity;
    /// The worker announced that it is leaving and accepts no new work.
    bool isDraining { false };
    /// Number of the report since which the worker has been like this. Reports with a lower number are older.
    uint64_t sinceReport { 0 };

    /// True if both describe the worker alike, whatever report said so.
    bool isLike(const WorkerProfile& other) const
    {
        const auto fields = [](const WorkerProfile& profile) {
            return std::tie(profile.incarnation, profile.pool, profile.zone, profile.rack, profile.labels,
                profile.capacity, profile.isDraining);
        };
        return fields(*this) == fields(other);
    }
    bool hasLabel(const std::string& label) const
    {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }

    friend bool operator==(const WorkerProfile&, const WorkerProfile&) = default;
};

} // namespace hickoryknot::workflow
