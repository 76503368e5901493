#pragma once

#include <string>
#include <vector>

#include "core/Error.h"
#include "workflow/StepSpec.h"

namespace hickoryknot::workflow {

/// A workflow as submitted by a caller.
struct WorkflowSpec {
    /// Passed unchanged to each task.
    std::string command;
    std::vector<StepSpec> steps;
    /// Number of scheduled occurrences; 0: the steps run once and immediately.
    uint32_t repeatCount { 0 };
    /// Wall-clock time of the first occurrence, milliseconds since 1970.
    int64_t firstMs { 0 };
    int64_t intervalMs { 0 };

    bool isTimed() const { return repeatCount > 0; }
    uint32_t occurrences() const { return isTimed() ? repeatCount : 1; }

    friend bool operator==(const WorkflowSpec&, const WorkflowSpec&) = default;
};

/// InvalidArgument or TooLarge if a limit is exceeded or a step depends on itself or a later one. The message names the
/// field.
Expected<void> checkWorkflowSpec(const WorkflowSpec&);

/// Estimated run time of the critical path.
Duration criticalPathLength(const WorkflowSpec&);

/// Estimated run time of the longest dependency path that starts with this step.
Duration criticalPathLengthFrom(const WorkflowSpec&, uint32_t step);

/// The same with other run times, one for each step of the workflow.
Duration criticalPathLengthFrom(const WorkflowSpec&, uint32_t step, const std::vector<Duration>& runTimes);

} // namespace hickoryknot::workflow
