#include "workflow/EarlyCancellations.h"

namespace hickoryknot::workflow {

namespace {

/// A submission that arrives later than this after its cancellation is taken for a new one. Hosts stand still for
/// seconds.
constexpr Duration retention = 15s;
/// Bounds the memory to a few megabytes.
constexpr size_t maxEntries = 20'000;

} // namespace

void EarlyCancellations::clear()
{
    m_cancelledAt.clear();
    m_order.clear();
}

void EarlyCancellations::add(const WorkflowId& id, const OrganisationName& caller, TimePoint now)
{
    const Key key(id, caller);
    m_cancelledAt.insert_or_assign(key, now);
    m_order.emplace_back(now, key);
    if (m_order.size() > maxEntries)
        removeOldest();
}

bool EarlyCancellations::contains(const WorkflowId& id, const OrganisationName& caller, TimePoint now) const
{
    const auto found = m_cancelledAt.find(Key(id, caller));
    return found != m_cancelledAt.end() && now - found->second < retention;
}

void EarlyCancellations::advance(TimePoint now)
{
    while (!m_order.empty() && now - m_order.front().first >= retention)
        removeOldest();
}

void EarlyCancellations::removeOldest()
{
    const auto& [at, key] = m_order.front();
    const auto found = m_cancelledAt.find(key);
    if (found != m_cancelledAt.end() && found->second == at)
        m_cancelledAt.erase(found);
    m_order.pop_front();
}

} // namespace hickoryknot::workflow
