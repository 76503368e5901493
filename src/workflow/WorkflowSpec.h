#pragma once

#include <string>
#include <vector>

#include "core/Error.h"
#include "workflow/StepSpec.h"

namespace hickoryknot::workflow {

/// What a caller wants to have run.
struct WorkflowSpec {
    /// Handed to each task as it is.
    std::string command;
    std::vector<StepSpec> steps;
    /// The steps run this many times, each at its own time; 0: once and at once.
    uint32_t repeatCount { 0 };
    /// Calendar time of the first occurrence, milliseconds since 1970.
    int64_t firstMs { 0 };
    int64_t intervalMs { 0 };

    bool isTimed() const { return repeatCount > 0; }
    uint32_t occurrences() const { return isTimed() ? repeatCount : 1; }

    friend bool operator==(const WorkflowSpec&, const WorkflowSpec&) = default;
};

/// InvalidArgument or TooLarge: a limit is exceeded or a step depends on itself or a later one; names the field.
Expected<void> checkWorkflowSpec(const WorkflowSpec&);

/// Run time of the longest chain of steps that depend on each other, by the caller's estimates.
Duration longestChain(const WorkflowSpec&);

/// Run time of the longest chain of steps that begins with this one.
Duration chainFrom(const WorkflowSpec&, uint32_t step);

} // namespace hickoryknot::workflow
