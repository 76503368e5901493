#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/Ids.h"

namespace hickoryknot::workflow {

/// Id chosen by the caller; a retry with the same id refers to the same workflow.
using WorkflowId = NamedId<struct WorkflowIdTag>;
using QueueName = NamedId<struct QueueNameTag>;
using PoolName = NamedId<struct PoolNameTag>;
using OrganisationName = NamedId<struct OrganisationNameTag>;

/// A step in one occurrence of a workflow.
struct StepRef {
    WorkflowId workflow;
    uint32_t occurrence { 0 };
    uint32_t step { 0 };

    friend auto operator<=>(const StepRef&, const StepRef&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const StepRef&, const StepRef&) = default;
};

/// One task of a step.
struct TaskRef {
    StepRef step;
    uint32_t index { 0 };

    friend auto operator<=>(const TaskRef&, const TaskRef&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const TaskRef&, const TaskRef&) = default;
};

/// One run (start) of a task. Runs of a task are numbered from 1; the members of a gang share the number.
struct RunRef {
    TaskRef task;
    uint32_t run { 0 };

    friend auto operator<=>(const RunRef&, const RunRef&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const RunRef&, const RunRef&) = default;
};

/// `workflow/occurrence/step/index`, for log lines and explanations.
std::string describe(const TaskRef&);
std::string describe(const StepRef&);

} // namespace hickoryknot::workflow

template <> struct std::hash<hickoryknot::workflow::StepRef> {
    size_t operator()(const hickoryknot::workflow::StepRef& ref) const noexcept
    {
        // The steps of a workflow that exist at the same time differ in the step, but hardly ever in the occurrence
        // only.
        return std::hash<hickoryknot::workflow::WorkflowId>()(ref.workflow) + ref.step;
    }
};
