#pragma once

#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Where a workflow was submitted, and on whose behalf.
struct WorkflowOwner {
    QueueName queue;
    OrganisationName organisation; // Empty: none.
};

} // namespace hickoryknot::workflow
