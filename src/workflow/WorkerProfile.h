#pragma once

#include <algorithm>
#include <string>
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

    bool hasLabel(const std::string& label) const
    {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }

    friend bool operator==(const WorkerProfile&, const WorkerProfile&) = default;
};

} // namespace hickoryknot::workflow
