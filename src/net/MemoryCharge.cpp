#include "net/MemoryCharge.h"

#include <utility>

#include "net/MemoryBudget.h"

namespace hickoryknot {

MemoryCharge::MemoryCharge(
    std::shared_ptr<MemoryBudget> budget, MemoryPool pool, std::string peer, std::function<void()> drop)
    : m_budget(std::move(budget))
    , m_pool(pool)
    , m_peer(std::move(peer))
    , m_drop(std::move(drop))
{
}

MemoryCharge::~MemoryCharge() { release(); }

bool MemoryCharge::resize(size_t bytes, TimePoint now)
{
    if (bytes > m_bytes && !m_budget->admit(*this, bytes, now))
        return false;
    m_budget->update(*this, bytes);
    return true;
}

void MemoryCharge::resizeRegardless(size_t bytes, TimePoint now)
{
    m_budget->update(*this, bytes);
    // Others make room, never the charge itself.
    const auto droppableSince = std::exchange(m_droppableSince, std::nullopt);
    while (m_budget->isFull(m_pool)) {
        MemoryCharge* victim = m_budget->findVictim(m_pool, true, now);
        if (!victim)
            break;
        victim->m_drop();
        m_budget->update(*victim, 0);
    }
    m_droppableSince = droppableSince;
}

void MemoryCharge::release() { m_budget->update(*this, 0); }

void MemoryCharge::setPool(MemoryPool pool)
{
    const size_t bytes = m_bytes;
    m_budget->update(*this, 0);
    m_pool = pool;
    m_budget->update(*this, bytes);
}

} // namespace hickoryknot
