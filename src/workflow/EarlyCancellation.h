#pragma once

#include <compare>

#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// A caller's cancellation of a workflow that was not known.
struct EarlyCancellation {
    struct Key {
        WorkflowId id;
        OrganisationName organisation; // Empty: the caller needed no key.

        friend auto operator<=>(const Key&, const Key&) = default; // NOLINT(modernize-use-nullptr)
        friend bool operator==(const Key&, const Key&) = default;
    };

    Key key;
    QueueName queue; // Whose path the caller used.
    /// The table had no organisations, so that every caller could reach the workflow.
    bool isWithoutOrganisations { false };
};

} // namespace hickoryknot::workflow
