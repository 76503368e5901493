#pragma once

#include "workflow/EarlyCancellation.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Receives change notifications while log entries are applied. Must not call back into the state.
class WorkflowListener {
public:
    virtual ~WorkflowListener() = default;
    virtual void onWorkflowChanged(const WorkflowId&) = 0;
    virtual void onTableChanged() = 0;
    /// The cancellation of an unknown workflow was recorded, or a recorded one was repeated.
    virtual void onEarlyCancellation(const EarlyCancellation::Key&) = 0;
};

} // namespace hickoryknot::workflow
