#pragma once

#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Hears of changes while entries are applied. Must not call back into the state.
class WorkflowListener {
public:
    virtual ~WorkflowListener() = default;
    virtual void workflowChanged(const WorkflowId&) = 0;
    virtual void tableChanged() = 0;
};

} // namespace hickoryknot::workflow
