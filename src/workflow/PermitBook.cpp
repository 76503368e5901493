#include "workflow/PermitBook.h"

#include <algorithm>

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

void PermitBook::clear()
{
    m_steps.clear();
    m_pending.clear();
}

void PermitBook::forget(const StepRef& step)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    m_pending.erase(found->second.pendingId);
    m_steps.erase(found);
}

const std::string* PermitBook::ticket(const StepRef& step, const WorkerLife& life, TimePoint now) const
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return nullptr;
    const auto ticket = found->second.tickets.find(life.worker);
    const bool isValid = ticket != found->second.tickets.end() && ticket->second.life == life
        && now + m_settings.permitMargin < ticket->second.expiresAt;
    return isValid ? &ticket->second.text : nullptr;
}

bool PermitBook::isDenied(const StepRef& step, const WorkerId& worker) const
{
    const auto found = m_steps.find(step);
    return found != m_steps.end() && found->second.denied.contains(worker);
}

bool PermitBook::isKnownAllowed(const StepRef& step, const WorkerId& worker) const
{
    const auto found = m_steps.find(step);
    return found != m_steps.end() && found->second.allowed.contains(worker);
}

bool PermitBook::isAsking(const StepRef& step) const
{
    const auto found = m_steps.find(step);
    return found != m_steps.end() && found->second.pendingId;
}

bool PermitBook::hasAsked(const StepRef& step) const
{
    const auto found = m_steps.find(step);
    return found != m_steps.end() && (!found->second.allowed.empty() || !found->second.denied.empty());
}

bool PermitBook::mayAsk(const StepRef& step, TimePoint now) const
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() || (!found->second.pendingId && now >= found->second.mayAskFrom);
}

double PermitBook::grantedShare(const QueueName& queue) const
{
    const auto found = m_shares.find(queue);
    const Share share = found == m_shares.end() ? Share {} : found->second;
    return (share.allowed + priorShare * priorWeight) / (share.asked + priorWeight);
}

PermitRequest PermitBook::ask(
    const StepRef& ref, const Queue& queue, const std::vector<WorkerLife>& lives, TimePoint now)
{
    Step& step = m_steps[ref];
    step.pendingId = m_nextId++;
    step.mayAskFrom = now;
    m_pending[step.pendingId] = { .queue = queue.name, .validity = queue.permission.validity, .lives = lives };
    PermitRequest request { .id = step.pendingId,
        .step = ref,
        .workers = {},
        .cost = queue.permission.perCall + queue.permission.perWorker * static_cast<int64_t>(lives.size()) };
    for (const auto& life : lives)
        request.workers.push_back(life.worker);
    return request;
}

void PermitBook::answered(const PermitRequest& request, const Expected<PermitAnswer>& answer, TimePoint now)
{
    const auto pending = m_pending.find(request.id);
    const auto found = m_steps.find(request.step);
    if (pending == m_pending.end())
        return;
    const Pending call = std::move(pending->second);
    m_pending.erase(pending);
    if (found == m_steps.end() || found->second.pendingId != request.id)
        return;
    Step& step = found->second;
    step.pendingId = 0;
    if (!answer) {
        step.mayAskFrom = now + failurePause;
        return;
    }
    const TimePoint expiresAt = now + answer->validity.value_or(call.validity);
    for (const auto& life : call.lives) {
        const auto granted = std::find_if(answer->granted.begin(), answer->granted.end(),
            [&](const Permit& permit) { return permit.worker == life.worker; });
        const bool isAllowed = granted != answer->granted.end();
        const bool isFirstAnswer = !step.allowed.contains(life.worker) && !step.denied.contains(life.worker);
        if (isFirstAnswer) {
            Share& share = m_shares[call.queue];
            share.allowed = share.allowed * decay + (isAllowed ? 1 : 0);
            share.asked = share.asked * decay + 1;
        }
        if (!isAllowed) {
            step.denied.insert(life.worker);
            continue;
        }
        step.allowed.insert(life.worker);
        step.tickets[life.worker] = { .life = life, .text = granted->ticket, .expiresAt = expiresAt };
    }
}

} // namespace hickoryknot::workflow
