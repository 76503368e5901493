#pragma once

#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Result of the check of a call's key.
struct Authentication {
    bool isAuthorised { false };
    /// Organisation on whose behalf the call is made. Empty: none, since the queue is public or the table has no
    /// organisations.
    OrganisationName organisation;

    friend bool operator==(const Authentication&, const Authentication&) = default;
};

} // namespace hickoryknot::workflow
