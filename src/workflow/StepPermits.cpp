#include "workflow/StepPermits.h"

#include "workflow/WorkerView.h"

namespace hickoryknot::workflow {

const std::string* StepPermits::ticket(const WorkerView& view, TimePoint usedAt) const
{
    const auto found = m_tickets.find(view.number);
    const bool isValid
        = found != m_tickets.end() && usedAt < found->second.expiresAt && found->second.life == view.life();
    return isValid ? &found->second.text : nullptr;
}

void StepPermits::set(uint32_t workerNumber, Verdict verdict)
{
    if (workerNumber >= m_verdicts.size())
        m_verdicts.resize(workerNumber + 1, Verdict::Unknown);
    m_verdicts[workerNumber] = verdict;
}

void StepPermits::deny(uint32_t workerNumber) { set(workerNumber, Verdict::Denied); }

void StepPermits::allow(uint32_t workerNumber, const WorkerIncarnation& life, std::string ticket, TimePoint expiresAt)
{
    set(workerNumber, Verdict::Allowed);
    m_tickets[workerNumber] = { .life = life, .text = std::move(ticket), .expiresAt = expiresAt };
}

} // namespace hickoryknot::workflow
