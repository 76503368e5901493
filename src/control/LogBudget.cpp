#include "control/LogBudget.h"

#include <algorithm>
#include <utility>

namespace hickoryknot {

using namespace workflow;

namespace {

/// Rate and burst of the token bucket, in lines. A line takes about 20 us of CPU time.
constexpr double linesPerSecond = 300;
constexpr double maxBurst = 600;
/// Lines of an ordinary workflow, paid in advance: it is accepted long before its last line is written.
constexpr double linesPerWorkflow = 8;
/// Kept for refusals, failures and stops when a workflow is chosen to be written.
constexpr double essentialReserve = 300;
/// The bucket may be overdrawn by this much.
constexpr double maxOverdraft = 600;

} // namespace

LogBudget::LogBudget()
    : m_lines(maxBurst)
{
}

void LogBudget::refill(TimePoint now)
{
    const Duration elapsed = std::clamp<Duration>(now - m_lastRefill, Duration(0), 10s);
    m_lastRefill = now;
    m_lines = std::min(maxBurst, m_lines + linesPerSecond * static_cast<double>(elapsed.count()) / 1e6);
}

void LogBudget::begin(const WorkflowId& id)
{
    if (m_lines - linesPerWorkflow < essentialReserve || !m_prepaid.try_emplace(id, linesPerWorkflow).second)
        return;
    m_lines -= linesPerWorkflow;
}

void LogBudget::end(const WorkflowId& id)
{
    const auto found = m_prepaid.find(id);
    if (found == m_prepaid.end())
        return;
    m_lines += found->second;
    m_prepaid.erase(found);
}

void LogBudget::clear()
{
    for (const auto& [id, lines] : m_prepaid)
        m_lines += lines;
    m_prepaid.clear();
}

bool LogBudget::takeOrdinary(Event event, const WorkflowId& id)
{
    const auto found = m_prepaid.find(id);
    if (found == m_prepaid.end()) {
        ++m_leftOut[event];
        return false;
    }
    if (found->second < 1)
        return takeEssential(event);
    found->second -= 1;
    return true;
}

bool LogBudget::takeEssential(Event event)
{
    if (m_lines <= -maxOverdraft) {
        ++m_leftOut[event];
        return false;
    }
    m_lines -= 1;
    return true;
}

std::map<Event, uint64_t> LogBudget::drainLeftOut() { return std::exchange(m_leftOut, {}); }

} // namespace hickoryknot
