#include "net/MemoryBudget.h"

#include <algorithm>
#include <numeric>
#include <string_view>

#include "net/MemoryCharge.h"

namespace hickoryknot {

namespace {

/// Less than this much use leaves too little behind to be worth the time of returning it to the system.
constexpr size_t minReleaseBytes = size_t { 2 } << 20;

} // namespace

MemoryBudgetSettings memoryBudgetOf(size_t machineBytes)
{
    return { .poolBytes = { machineBytes / 8, machineBytes / 8, machineBytes / 8 } };
}

MemoryBudget::MemoryBudget(MemoryBudgetSettings settings)
    : m_settings(settings)
{
}

MemoryBudget::~MemoryBudget() = default;

bool MemoryBudget::takeReleaseDue()
{
    const size_t held = std::accumulate(m_heldBytes.begin(), m_heldBytes.end(), size_t { 0 });
    if (m_peakBytes < minReleaseBytes || held > m_peakBytes / 4)
        return false;
    m_peakBytes = held;
    return true;
}

bool MemoryBudget::admit(const MemoryCharge& charge, size_t bytes, TimePoint now)
{
    const MemoryPool pool = charge.m_pool;
    const bool isLarge = bytes > m_settings.smallBytes;
    for (;;) {
        const size_t others = heldBytes(pool) - charge.m_bytes;
        if (!others || others + bytes <= poolBytes(pool))
            return true;
        MemoryCharge* victim = findVictim(pool, true, now);
        if (!victim && !isLarge)
            victim = findVictim(pool, false, now);
        if (!victim || victim == &charge)
            return false;
        victim->m_drop();
        update(*victim, 0);
    }
}

MemoryCharge* MemoryBudget::findVictim(MemoryPool pool, bool largeOnly, TimePoint now) const
{
    const auto isCandidate = [&](const MemoryCharge& charge) {
        return charge.m_pool == pool && charge.m_droppableSince && *charge.m_droppableSince <= now
            && (!largeOnly || charge.m_bytes > m_settings.smallBytes);
    };
    std::map<std::string_view, size_t> bytesOfPeer;
    for (const auto* charge : m_charges) {
        if (isCandidate(*charge))
            bytesOfPeer[charge->m_peer] += charge->m_bytes;
    }
    if (bytesOfPeer.empty())
        return nullptr;
    const auto peer = std::max_element(
        bytesOfPeer.begin(), bytesOfPeer.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    MemoryCharge* victim = nullptr;
    for (auto* charge : m_charges) {
        if (isCandidate(*charge) && charge->m_peer == peer->first
            && (!victim || charge->m_droppableSince < victim->m_droppableSince))
            victim = charge;
    }
    return victim;
}

void MemoryBudget::update(MemoryCharge& charge, size_t bytes)
{
    size_t& held = m_heldBytes[static_cast<size_t>(charge.m_pool)];
    held = held - charge.m_bytes + bytes;
    charge.m_bytes = bytes;
    if (bytes)
        m_charges.insert(&charge);
    else
        m_charges.erase(&charge);
    m_peakBytes = std::max(m_peakBytes, std::accumulate(m_heldBytes.begin(), m_heldBytes.end(), size_t { 0 }));
}

} // namespace hickoryknot
