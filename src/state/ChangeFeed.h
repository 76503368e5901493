#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include "state/JobNumber.h"

namespace hickoryknot {

/// Ring buffer of recently changed jobs. Each reader keeps its own cursor. Not replicated.
class ChangeFeed {
public:
    /// A reader that is further behind must scan all unfinished jobs.
    static constexpr uint64_t capacity = 4096;

    void add(JobNumber job) { m_jobs[m_end++ % capacity] = job; }
    /// Forces every reader to scan all unfinished jobs; used after a restore.
    void invalidateCursors() { m_end += capacity + 1; }

    /// Appends the jobs changed since `cursor`, each once, and advances the cursor. False: the reader is too far
    /// behind and must scan all unfinished jobs.
    bool read(uint64_t& cursor, std::vector<JobNumber>& jobs) const
    {
        const bool isComplete = m_end - cursor <= capacity;
        for (uint64_t at = cursor; isComplete && at < m_end; ++at)
            jobs.push_back(m_jobs[at % capacity]);
        cursor = m_end;
        std::sort(jobs.begin(), jobs.end());
        jobs.erase(std::unique(jobs.begin(), jobs.end()), jobs.end());
        return isComplete;
    }

private:
    std::array<JobNumber, capacity> m_jobs {};
    uint64_t m_end { capacity + 1 };
};

} // namespace hickoryknot
