#pragma once

#include <string>

#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Work whose run times are learned together.
struct WorkKind {
    QueueName queue;
    std::string image;
    bool isGang { false };

    friend auto operator<=>(const WorkKind&, const WorkKind&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const WorkKind&, const WorkKind&) = default;
};

} // namespace hickoryknot::workflow
