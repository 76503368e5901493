#pragma once

#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Receives change notifications while log entries are applied. Must not call back into the state.
class WorkflowListener {
public:
    virtual ~WorkflowListener() = default;
    virtual void onWorkflowChanged(const WorkflowId&) = 0;
    virtual void onTableChanged() = 0;
};

} // namespace hickoryknot::workflow
