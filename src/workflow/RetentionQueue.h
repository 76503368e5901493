#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/Time.h"

namespace hickoryknot::workflow {

/// Items that are kept for a time after they were last needed, oldest first.
template <typename Key> class RetentionQueue {
public:
    bool contains(const Key& key) const { return m_since.contains(key); }
    size_t size() const { return m_since.size(); }

    /// Adds the item, or starts its time anew.
    void touch(const Key& key, TimePoint now)
    {
        const auto [since, isNew] = m_since.try_emplace(key, now);
        if (!isNew)
            m_order.erase({ since->second, key });
        since->second = now;
        m_order.emplace(now, key);
    }

    /// Removes and returns items that were last touched longer than `retention` ago, at most `maxCount`.
    std::vector<Key> takeExpired(TimePoint now, Duration retention, size_t maxCount)
    {
        std::vector<Key> expired;
        while (!m_order.empty() && now - m_order.begin()->first > retention && expired.size() < maxCount) {
            expired.push_back(m_order.begin()->second);
            m_since.erase(expired.back());
            m_order.erase(m_order.begin());
        }
        return expired;
    }

    void clear()
    {
        m_since.clear();
        m_order.clear();
    }

private:
    std::map<Key, TimePoint> m_since;
    std::set<std::pair<TimePoint, Key>> m_order;
};

} // namespace hickoryknot::workflow
