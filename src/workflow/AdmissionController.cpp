#include "workflow/AdmissionController.h"

#include <algorithm>

namespace hickoryknot::workflow {

double AdmissionController::workAhead(const Load& load, uint32_t priority, TimePoint latestStart)
{
    double sum = 0;
    for (const auto& waiting : load) {
        const bool isAhead = waiting.level < priority
            || (waiting.level == priority && !waiting.isLate && waiting.latestStart <= latestStart);
        sum += isAhead ? waiting.work : 0;
    }
    return sum;
}

std::optional<AdmissionController::Rejection> AdmissionController::checkAdmission(const Queue& queue,
    const WorkflowSpec& spec, const Load& load, Millicores capacity, double jitter, TimePoint now) const
{
    // Scheduled and long-running work has no latency objective and is always admitted.
    const bool isLongRunning
        = std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec& step) { return step.isLongRunning; });
    if (spec.isTimed() || isLongRunning || capacity.count() <= 0)
        return std::nullopt;
    const Duration criticalPath = criticalPathLength(spec);
    const Duration slack
        = criticalPath * static_cast<int64_t>(queue.stretchPermille) / 1000 + queue.targetLatency - criticalPath;
    const double usable = static_cast<double>(capacity.count()) * m_settings.usableCapacityFraction;
    // Time that the work ahead of the workflow needs on all usable processors.
    const Duration wait(static_cast<int64_t>(workAhead(load, queue.priority, now + slack) / usable));
    if (wait <= Duration(static_cast<int64_t>(static_cast<double>(slack.count()) * m_settings.usableSlackFraction)))
        return std::nullopt;
    const Duration excess = wait - slack;
    const Duration varied(static_cast<int64_t>(static_cast<double>(excess.count()) * (1 + jitter)));
    return Rejection { .retryAfter = std::clamp(varied, m_settings.minRetryDelay, m_settings.maxRetryDelay),
        .expectedWait = wait,
        .slack = slack };
}

} // namespace hickoryknot::workflow
