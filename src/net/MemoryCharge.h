#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/Time.h"
#include "net/MemoryPool.h"

namespace hickoryknot {

class MemoryBudget;

/// What one connection holds of a MemoryBudget. Holds nothing at first and again when destroyed. Not thread-safe.
class MemoryCharge {
public:
    /// `drop` frees the memory at once; it is called while another charge grows.
    MemoryCharge(std::shared_ptr<MemoryBudget>, MemoryPool, std::string peer, std::function<void()> drop);
    ~MemoryCharge();
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;

    /// Charges `bytes` in place of what is held now, and drops others if the pool is full. False: there is no room even
    /// so, and nothing has changed. What holds its pool alone always has room.
    bool resize(size_t bytes, TimePoint now);

    /// Charges `bytes` also if the pool is full, after dropping what may be dropped: for memory that is in use already.
    void resizeRegardless(size_t bytes, TimePoint now);

    void release();

    /// From this time on the memory may be dropped for others; never if empty.
    void setDroppableSince(std::optional<TimePoint> since) { m_droppableSince = since; }

    /// Moves what is held to another pool.
    void setPool(MemoryPool);

    size_t bytes() const { return m_bytes; }
    MemoryPool pool() const { return m_pool; }

private:
    friend class MemoryBudget;

    std::shared_ptr<MemoryBudget> m_budget;
    MemoryPool m_pool;
    std::string m_peer;
    std::function<void()> m_drop;
    std::optional<TimePoint> m_droppableSince;
    size_t m_bytes { 0 };
};

} // namespace hickoryknot
