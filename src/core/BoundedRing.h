#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "core/Time.h"

namespace hickoryknot {

/// Joins two threads with a queue of fixed size. A full ring refuses the item, so that the source slows down.
/// Thread safe; any number of producers and consumers.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(size_t capacity)
        : m_slots(capacity)
    {
    }

    /// Returns false and leaves `item` untouched if the ring is full or closed.
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

    /// Waits until there is room. Returns false if the ring is closed.
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

    /// Waits up to `timeout` for an item; empty when none came or the ring is closed and drained.
    std::optional<T> popFor(Duration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait_for(lock, timeout, [&] { return m_isClosed || m_count; });
        return takeFirst(lock);
    }

    /// Takes an item if there is one.
    std::optional<T> tryPop()
    {
        std::unique_lock lock(m_mutex);
        return takeFirst(lock);
    }

    /// Refuses further items and wakes all waiters; items inside can still be taken.
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
    std::optional<T> takeFirst(std::unique_lock<std::mutex>& lock)
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
