#include "workflow/ResendBudget.h"

#include <algorithm>

namespace hickoryknot::workflow {

namespace {

/// With half of all requests lost, each response takes one copy on average.
constexpr double copiesPerResponse = 1.5;
/// Lets a cell without responses be tried.
constexpr double copiesPerSecond = 20;
constexpr double maxCopies = 200;

} // namespace

void ResendBudget::refill(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_lastRefill).count();
    m_copies = std::min(maxCopies, m_copies + copiesPerSecond * std::max(0.0, seconds));
    m_lastRefill = now;
}

void ResendBudget::onResponse() { m_copies = std::min(maxCopies, m_copies + copiesPerResponse); }

bool ResendBudget::take(TimePoint now)
{
    refill(now);
    if (m_copies < 1)
        return false;
    m_copies -= 1;
    ++m_taken;
    return true;
}

} // namespace hickoryknot::workflow
