#pragma once

#include <algorithm>
#include <tuple>
#include <vector>

#include "core/Time.h"
#include "placement/Indices.h"

namespace hickoryknot {

/// Min-heap of times at which jobs are queued again. Entries of removed jobs stay until they expire.
class JobTimers {
public:
    struct Entry {
        TimePoint at;
        JobIndex job { noIndex };
        uint32_t generation { 0 };

        // Inverted, because std::push_heap() builds a max-heap.
        friend bool operator<(const Entry& a, const Entry& b)
        {
            return std::tie(a.at, a.job, a.generation) > std::tie(b.at, b.job, b.generation);
        }
    };

    void add(const Entry& entry)
    {
        m_entries.push_back(entry);
        std::push_heap(m_entries.begin(), m_entries.end());
    }

    bool hasExpired(TimePoint now) const { return !m_entries.empty() && m_entries.front().at <= now; }

    Entry pop()
    {
        std::pop_heap(m_entries.begin(), m_entries.end());
        const Entry entry = m_entries.back();
        m_entries.pop_back();
        return entry;
    }

private:
    std::vector<Entry> m_entries;
};

} // namespace hickoryknot
