#include "workflow/AdmissionController.h"

#include <algorithm>

namespace hickoryknot::workflow {

double AdmissionController::Load::workUpTo(uint32_t priority) const
{
    double sum = 0;
    for (const auto& [other, work] : byPriority) {
        if (other <= priority)
            sum += work;
    }
    return sum;
}

std::optional<Duration> AdmissionController::refusal(
    const Queue& queue, const WorkflowSpec& spec, const Load& load, Millicores capacity, double spread) const
{
    // Work at set times and long-running work waits for its turn, however long that takes.
    const bool isLasting
        = std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec& step) { return step.isLongRunning; });
    if (spec.isTimed() || isLasting || capacity.count() <= 0)
        return std::nullopt;
    const Duration chain = longestChain(spec);
    const Duration slack = chain * static_cast<int64_t>(queue.stretchPermille) / 1000 + queue.targetLatency - chain;
    const double usable = static_cast<double>(capacity.count()) * m_settings.usableCapacity;
    // What is ahead of it needs this long on all processors together.
    const Duration wait(static_cast<int64_t>(load.workUpTo(queue.priority) / usable));
    if (wait <= Duration(static_cast<int64_t>(static_cast<double>(slack.count()) * m_settings.usableSlack)))
        return std::nullopt;
    const Duration excess = wait - slack;
    const Duration varied(static_cast<int64_t>(static_cast<double>(excess.count()) * (1 + spread)));
    return std::clamp(varied, m_settings.shortestReturn, m_settings.longestReturn);
}

} // namespace hickoryknot::workflow
