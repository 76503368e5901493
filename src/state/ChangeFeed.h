#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include "state/JobNumber.h"

namespace hickoryknot {

/// The latest changed jobs of a state, for readers that each keep a cursor. Not replicated.
class ChangeFeed {
public:
    /// Readers further behind than this scan the unfinished jobs instead.
    static constexpr uint64_t capacity = 4096;

    void add(JobNumber job) { m_jobs[m_end++ % capacity] = job; }
    /// Makes every reader scan, after a restore.
    void addAll() { m_end += capacity + 1; }

    /// Appends the jobs changed since `cursor`, each once, and moves the cursor. False: the reader is too far behind
    /// and must look at all unfinished jobs.
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
