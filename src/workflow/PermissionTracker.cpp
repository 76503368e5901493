#include "workflow/PermissionTracker.h"

#include "workflow/TrackedWorker.h"

namespace hickoryknot::workflow {

namespace {

/// Prior estimate of the granted fraction, weighted like this many observations.
constexpr double priorGrantedFraction = 0.5;
constexpr double priorWeight = 8;
/// Weight of earlier observations after each new one; the window covers about the last thousand workers.
constexpr double observationDecay = 0.999;
/// Delay after a failed request, so that a service that is down is not overloaded.
constexpr Duration failureBackoff = 100ms;

} // namespace

void PermissionTracker::clear()
{
    m_steps.clear();
    m_pending.clear();
}

void PermissionTracker::removeStep(const StepRef& step)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    for (const uint64_t id : found->second.pending)
        m_pending.erase(id);
    m_steps.erase(found);
}

const StepPermissions& PermissionTracker::permissionsOf(const StepRef& step) const
{
    static const StepPermissions nothing;
    const auto found = m_steps.find(step);
    return found == m_steps.end() ? nothing : found->second.permissions;
}

bool PermissionTracker::isRequestPending(const StepRef& step) const
{
    const auto found = m_steps.find(step);
    return found != m_steps.end() && !found->second.pending.empty();
}

bool PermissionTracker::mayRequest(const StepRef& step, TimePoint now) const
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() || (found->second.pending.empty() && now >= found->second.nextRequestAt);
}

double PermissionTracker::grantedFraction(const QueueName& queue) const
{
    const auto found = m_grantStatistics.find(queue);
    const GrantStatistics statistics = found == m_grantStatistics.end() ? GrantStatistics {} : found->second;
    return (statistics.granted + priorGrantedFraction * priorWeight) / (statistics.requested + priorWeight);
}

PermissionRequest PermissionTracker::addRequest(
    const StepRef& ref, const Queue& queue, const std::vector<const TrackedWorker*>& workers)
{
    Step& step = m_steps[ref];
    const uint64_t id = m_nextId++;
    step.pending.insert(id);
    PendingRequest& pending = m_pending[id];
    pending = { .queue = queue.name, .validity = queue.permission.validity, .workers = {} };
    PermissionRequest request { .id = id,
        .step = ref,
        .workers = {},
        .estimatedCallTime
        = queue.permission.perCall + queue.permission.perWorker * static_cast<int64_t>(workers.size()) };
    for (const auto* worker : workers) {
        pending.workers.push_back({ worker->number, worker->incarnation() });
        request.workers.push_back(worker->incarnation().worker);
        step.permissions.addPendingWorker(worker->number);
    }
    return request;
}

void PermissionTracker::onResponse(
    const PermissionRequest& request, const Expected<PermissionResponse>& response, TimePoint now)
{
    const auto pending = m_pending.find(request.id);
    const auto found = m_steps.find(request.step);
    if (pending == m_pending.end())
        return;
    const PendingRequest call = std::move(pending->second);
    m_pending.erase(pending);
    if (found == m_steps.end() || !found->second.pending.erase(request.id))
        return;
    Step& step = found->second;
    if (step.pending.empty())
        step.permissions.clearPendingWorkers();
    if (!response) {
        step.nextRequestAt = now + failureBackoff;
        return;
    }
    const TimePoint expiresAt = now + response->validity.value_or(call.validity);
    std::unordered_map<WorkerId, const WorkerPermission*> granted;
    for (const auto& permission : response->granted)
        granted[permission.worker] = &permission;
    for (const auto& [number, incarnation] : call.workers) {
        const auto permission = granted.find(incarnation.worker);
        const bool isAllowed = permission != granted.end();
        if (!step.permissions.isKnown(number)) {
            GrantStatistics& statistics = m_grantStatistics[call.queue];
            statistics.granted = statistics.granted * observationDecay + (isAllowed ? 1 : 0);
            statistics.requested = statistics.requested * observationDecay + 1;
        }
        if (isAllowed)
            step.permissions.allow(number, incarnation, permission->second->token, expiresAt);
        else
            step.permissions.deny(number);
    }
}

void PermissionTracker::onTokenRejected(const StepRef& step, const TrackedWorker& worker)
{
    if (const auto found = m_steps.find(step); found != m_steps.end())
        found->second.permissions.removeToken(worker.number);
}

} // namespace hickoryknot::workflow
