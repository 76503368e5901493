#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "core/Time.h"

namespace hickoryknot {

/// Bounded blocking queue between threads, stored in a ring buffer. A full queue rejects the item, which applies
/// backpressure to the producer. Thread safe; any number of producers and consumers.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(size_t capacity)
        : m_slots(capacity)
    {
    }

    /// Moves `item` into the queue. Returns false and leaves `item` unchanged if the queue is full or closed.
    bool tryPush(T& item)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_isClosed || m_count == m_slots.size())
                return false;
            m_slots[(m_first + m_count++) % m_slots.size()] = std::move(item);
        }
        m_notEmpty.notify_one();
        return true;
    }

    /// Blocks until the queue has space. Returns false if the queue is closed.
    bool push(T item)
    {
        {
            std::unique_lock lock(m_mutex);
            m_notFull.wait(lock, [&] { return m_isClosed || m_count < m_slots.size(); });
            if (m_isClosed)
                return false;
            m_slots[(m_first + m_count++) % m_slots.size()] = std::move(item);
        }
        m_notEmpty.notify_one();
        return true;
    }

    /// Blocks up to `timeout` for an item. Empty after the timeout, or if the queue is closed and empty.
    std::optional<T> popFor(Duration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait_for(lock, timeout, [&] { return m_isClosed || m_count; });
        return popFirst(lock);
    }

    /// Pops an item without blocking; empty if there is none.
    std::optional<T> tryPop()
    {
        std::unique_lock lock(m_mutex);
        return popFirst(lock);
    }

    /// Rejects further items and wakes all blocked threads; queued items can still be popped.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isClosed = true;
        }
        m_notEmpty.notify_all();
        m_notFull.notify_all();
    }

    bool isClosed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_isClosed;
    }

    size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_count;
    }

private:
    std::optional<T> popFirst(std::unique_lock<std::mutex>& lock)
    {
        if (!m_count)
            return std::nullopt;
        std::optional<T> item(std::move(m_slots[m_first]));
        m_first = (m_first + 1) % m_slots.size();
        --m_count;
        lock.unlock();
        m_notFull.notify_one();
        return item;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::condition_variable m_notFull;
    std::vector<T> m_slots;
    size_t m_first { 0 };
    size_t m_count { 0 };
    bool m_isClosed { false };
};

} // namespace hickoryknot
