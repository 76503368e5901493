#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <unordered_set>

#include "core/Time.h"
#include "net/MemoryBudgetSettings.h"

namespace hickoryknot {

class MemoryCharge;

/// The memory that a process grants to requests and responses, shared by all its servers and message links. When a pool
/// is full, the request that has been unfinished for longest, of the peer that holds most, is dropped. Not thread-safe:
/// used only on the network thread. Must outlive its charges.
class MemoryBudget {
public:
    explicit MemoryBudget(MemoryBudgetSettings = {});
    ~MemoryBudget();
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    size_t heldBytes(MemoryPool pool) const { return m_heldBytes[static_cast<size_t>(pool)]; }
    size_t poolBytes(MemoryPool pool) const { return m_settings.poolBytes[static_cast<size_t>(pool)]; }

    /// True once after each time of heavy use: the freed memory is then worth returning to the system.
    bool takeReleaseDue();

private:
    friend class MemoryCharge;

    /// Makes room for `bytes` in place of what the charge holds. False: there is no room.
    bool admit(const MemoryCharge&, size_t bytes, TimePoint now);
    /// The charge to drop for a request; null if none may be dropped.
    MemoryCharge* findVictim(MemoryPool, bool largeOnly, TimePoint now) const;
    void update(MemoryCharge&, size_t bytes);
    bool isFull(MemoryPool pool) const { return heldBytes(pool) > poolBytes(pool); }

    MemoryBudgetSettings m_settings;
    std::array<size_t, memoryPoolCount> m_heldBytes {};
    size_t m_peakBytes { 0 };
    /// Charges that hold anything.
    std::unordered_set<MemoryCharge*> m_charges;
};

} // namespace hickoryknot
