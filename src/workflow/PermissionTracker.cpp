#include "workflow/PermissionTracker.h"

#include <unordered_map>

#include "workflow/WorkerView.h"

namespace hickoryknot::workflow {

namespace {

/// Before anything is learnt, half of the workers count as allowed, with the weight of this many answers.
constexpr double priorShare = 0.5;
constexpr double priorWeight = 8;
/// Weight that earlier answers keep; about the last thousand named workers count.
constexpr double decay = 0.999;
/// Pause after a call without an answer, so that a service that is down is not pressed.
constexpr Duration failurePause = 100ms;

} // namespace

void PermissionTracker::clear()
{
    m_steps.clear();
    m_pending.clear();
}

void PermissionTracker::forget(const StepRef& step)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    for (const uint64_t id : found->second.pending)
        m_pending.erase(id);
    m_steps.erase(found);
}

const StepPermits& PermissionTracker::of(const StepRef& step) const
{
    static const StepPermits nothing;
    const auto found = m_steps.find(step);
    return found == m_steps.end() ? nothing : found->second.permits;
}

bool PermissionTracker::isAsking(const StepRef& step) const
{
    const auto found = m_steps.find(step);
    return found != m_steps.end() && !found->second.pending.empty();
}

bool PermissionTracker::mayAsk(const StepRef& step, TimePoint now) const
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() || (found->second.pending.empty() && now >= found->second.mayAskFrom);
}

double PermissionTracker::grantedShare(const QueueName& queue) const
{
    const auto found = m_shares.find(queue);
    const Share share = found == m_shares.end() ? Share {} : found->second;
    return (share.allowed + priorShare * priorWeight) / (share.asked + priorWeight);
}

PermissionRequest PermissionTracker::ask(
    const StepRef& ref, const Queue& queue, const std::vector<const WorkerView*>& workers)
{
    Step& step = m_steps[ref];
    const uint64_t id = m_nextId++;
    step.pending.insert(id);
    Pending& pending = m_pending[id];
    pending = { .queue = queue.name, .validity = queue.permission.validity, .workers = {} };
    PermissionRequest request { .id = id,
        .step = ref,
        .workers = {},
        .estimatedCallTime
        = queue.permission.perCall + queue.permission.perWorker * static_cast<int64_t>(workers.size()) };
    for (const auto* view : workers) {
        pending.workers.push_back({ view->number, view->life() });
        request.workers.push_back(view->life().worker);
        step.permits.noteAsked(view->number);
    }
    return request;
}

void PermissionTracker::answered(
    const PermissionRequest& request, const Expected<PermissionResponse>& answer, TimePoint now)
{
    const auto pending = m_pending.find(request.id);
    const auto found = m_steps.find(request.step);
    if (pending == m_pending.end())
        return;
    const Pending call = std::move(pending->second);
    m_pending.erase(pending);
    if (found == m_steps.end() || !found->second.pending.erase(request.id))
        return;
    Step& step = found->second;
    if (step.pending.empty())
        step.permits.noteAllAnswered();
    if (!answer) {
        step.mayAskFrom = now + failurePause;
        return;
    }
    const TimePoint expiresAt = now + answer->validity.value_or(call.validity);
    std::unordered_map<WorkerId, const WorkerPermission*> granted;
    for (const auto& permit : answer->granted)
        granted[permit.worker] = &permit;
    for (const auto& [number, life] : call.workers) {
        const auto permit = granted.find(life.worker);
        const bool isAllowed = permit != granted.end();
        if (!step.permits.isKnown(number)) {
            Share& share = m_shares[call.queue];
            share.allowed = share.allowed * decay + (isAllowed ? 1 : 0);
            share.asked = share.asked * decay + 1;
        }
        if (isAllowed)
            step.permits.allow(number, life, permit->second->token, expiresAt);
        else
            step.permits.deny(number);
    }
}

void PermissionTracker::refused(const StepRef& step, const WorkerView& view)
{
    if (const auto found = m_steps.find(step); found != m_steps.end())
        found->second.permits.dropTicket(view.number);
}

} // namespace hickoryknot::workflow
