#include "workflow/WorkflowIds.h"

#include <fmt/format.h>

namespace hickoryknot::workflow {

std::string describe(const StepRef& step)
{
    return fmt::format("{}/{}/{}", step.workflow.value(), step.occurrence, step.step);
}

std::string describe(const TaskRef& task) { return fmt::format("{}/{}", describe(task.step), task.index); }

} // namespace hickoryknot::workflow
