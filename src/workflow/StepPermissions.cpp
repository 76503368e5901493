#include "workflow/StepPermissions.h"

#include <algorithm>

#include "workflow/TrackedWorker.h"

namespace hickoryknot::workflow {

const std::string* StepPermissions::token(const TrackedWorker& worker, TimePoint arrivesAt) const
{
    const auto found = m_tokens.find(worker.number);
    const bool isValid = found != m_tokens.end() && arrivesAt < found->second.expiresAt
        && found->second.incarnation == worker.incarnation();
    return isValid ? &found->second.value : nullptr;
}

void StepPermissions::set(uint32_t workerNumber, Decision decision)
{
    if (workerNumber >= m_decisions.size())
        m_decisions.resize(workerNumber + 1, Decision::Unknown);
    m_decisions[workerNumber] = decision;
}

void StepPermissions::deny(uint32_t workerNumber)
{
    if (isAllowed(workerNumber))
        std::erase(m_allowedWorkers, workerNumber);
    set(workerNumber, Decision::Denied);
}

void StepPermissions::allow(
    uint32_t workerNumber, const WorkerIncarnation& incarnation, std::string token, TimePoint expiresAt)
{
    if (!isAllowed(workerNumber))
        m_allowedWorkers.push_back(workerNumber);
    set(workerNumber, Decision::Allowed);
    m_lastExpiry = std::max(m_lastExpiry, expiresAt);
    m_tokens[workerNumber] = { .incarnation = incarnation, .value = std::move(token), .expiresAt = expiresAt };
}

} // namespace hickoryknot::workflow
