#pragma once

#include <cstdint>

#include "core/Resources.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

/// Figures of one organisation of the table in force, for metrics.
struct OrganisationStatus {
    OrganisationName name;
    Resources used; // What may be running.
    Resources limit; // Zero in a dimension: none.
    double dominantFraction { 0 }; // Of the capacity, in its scarcest resource.
    double share { 0 }; // Of what all organisations use; zero without work.
    uint64_t refusals { 0 };
};

} // namespace hickoryknot::workflow
