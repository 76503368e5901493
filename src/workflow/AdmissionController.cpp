#include "workflow/AdmissionController.h"

#include <algorithm>

namespace hickoryknot::workflow {

bool AdmissionController::isAlwaysAdmitted(const WorkflowSpec& spec)
{
    return spec.isTimed()
        || std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec& step) { return step.isLongRunning; });
}

Duration AdmissionController::slackOf(const Queue& queue, const WorkflowSpec& spec)
{
    const Duration criticalPath = criticalPathLength(spec);
    return criticalPath * static_cast<int64_t>(queue.stretchPermille) / 1000 + queue.targetLatency - criticalPath;
}

bool AdmissionController::isAhead(const WaitingWork& waiting, uint32_t priority, TimePoint latestStart)
{
    return waiting.level < priority
        || (waiting.level == priority && !waiting.isLate && waiting.latestStart <= latestStart);
}

double AdmissionController::workAhead(const Load& load, uint32_t priority, TimePoint latestStart)
{
    double sum = 0;
    for (const auto& waiting : load)
        sum += isAhead(waiting, priority, latestStart) ? waiting.work : 0;
    return sum;
}

Duration AdmissionController::usableSlack(Duration slack) const
{
    return Duration(static_cast<int64_t>(static_cast<double>(slack.count()) * m_settings.usableSlackFraction));
}

Duration AdmissionController::retryDelay(Duration wanted, double jitter) const
{
    const Duration varied(static_cast<int64_t>(static_cast<double>(wanted.count()) * (1 + jitter)));
    return std::clamp(varied, m_settings.minRetryDelay, m_settings.maxRetryDelay);
}

std::optional<AdmissionController::Rejection> AdmissionController::checkWait(
    Duration wait, Duration slack, double jitter) const
{
    if (wait <= usableSlack(slack))
        return std::nullopt;
    return Rejection { .retryAfter = retryDelay(wait - slack, jitter), .expectedWait = wait, .slack = slack };
}

std::optional<AdmissionController::Rejection> AdmissionController::checkAdmission(const Queue& queue,
    const WorkflowSpec& spec, const Load& load, Millicores capacity, double jitter, TimePoint now) const
{
    if (isAlwaysAdmitted(spec) || capacity.count() <= 0)
        return std::nullopt;
    const Duration slack = slackOf(queue, spec);
    // Time that the work ahead of the workflow needs on all usable processors.
    const Duration wait(static_cast<int64_t>(workAhead(load, queue.priority, now + slack) / usableCapacity(capacity)));
    return checkWait(wait, slack, jitter);
}

} // namespace hickoryknot::workflow
