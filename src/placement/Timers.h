#pragma once

#include <algorithm>
#include <tuple>
#include <vector>

#include "core/Time.h"
#include "placement/Indices.h"

namespace hickoryknot {

/// Jobs that wait for a moment, earliest first. Entries of jobs that are gone stay until their moment.
class Timers {
public:
    struct Entry {
        TimePoint at;
        JobIndex job { noIndex };
        uint32_t generation { 0 };

        // Heap order of the standard library puts the largest first.
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

    bool isDue(TimePoint now) const { return !m_entries.empty() && m_entries.front().at <= now; }

    Entry take()
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
