#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/Assert.h"
#include "routing/RouterAction.h"

namespace hickoryknot {

/// FIFO queue of the waiting requests of one row, with lazy deletion: a request that leaves early is subtracted from
/// the size and its entry stays. `isWaiting(handle)` identifies such stale entries, which pop() skips and which are
/// removed when they outnumber the waiting requests.
class AdmissionQueue {
public:
    /// Number of waiting requests, without stale entries.
    uint32_t size() const { return m_size; }
    bool isEmpty() const { return !m_size; }

    /// Appends a request. The caller checks the queue bound, since only the caller knows whether the request can start
    /// at once.
    template <typename IsWaiting> void pushBack(RequestHandle handle, IsWaiting isWaiting)
    {
        removeStaleEntries(isWaiting);
        m_entries.push_back(handle);
        ++m_size;
    }

    /// Puts a request at the front: for requests that were popped and not served.
    void pushFront(RequestHandle handle)
    {
        m_entries.push_front(handle);
        ++m_size;
    }

    /// Subtracts a request that left the queue early. `isWaiting` must already be false for it.
    void decrementSize()
    {
        HICKORYKNOT_ASSERT(m_size, "only a waiting request can be removed");
        --m_size;
    }

    /// Pops the first request that still waits.
    template <typename IsWaiting> std::optional<RequestHandle> pop(IsWaiting isWaiting)
    {
        while (!m_entries.empty()) {
            const RequestHandle handle = m_entries.front();
            m_entries.pop_front();
            if (!isWaiting(handle))
                continue;
            decrementSize();
            return handle;
        }
        HICKORYKNOT_ASSERT(!m_size, "every waiting request has an entry");
        return std::nullopt;
    }

private:
    template <typename IsWaiting> void removeStaleEntries(IsWaiting isWaiting)
    {
        constexpr size_t minStaleEntries = 64;
        if (m_entries.size() > size_t(2) * m_size + minStaleEntries)
            std::erase_if(m_entries, [&](RequestHandle handle) { return !isWaiting(handle); });
    }

    std::deque<RequestHandle> m_entries;
    uint32_t m_size { 0 };
};

} // namespace hickoryknot
