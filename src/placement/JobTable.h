#pragma once

#include <vector>

#include "placement/JobRecord.h"

namespace hickoryknot {

/// Jobs by slot. A slot is reused with a new generation, so that stale handles are detected.
class JobTable {
public:
    JobIndex add()
    {
        if (m_freeSlots.empty()) {
            m_records.emplace_back();
            m_freeSlots.reserve(m_records.capacity());
            m_freeSlots.push_back(static_cast<JobIndex>(m_records.size() - 1));
        }
        const JobIndex index = m_freeSlots.back();
        m_freeSlots.pop_back();
        m_records[index].isUsed = true;
        return index;
    }

    void remove(JobIndex index)
    {
        const uint32_t next = m_records[index].generation + 1;
        m_records[index] = {};
        m_records[index].generation = next;
        m_freeSlots.push_back(index);
    }

    /// noIndex if the handle is stale or unknown.
    JobIndex find(uint32_t slot, uint32_t generation) const
    {
        const bool isCurrent
            = slot < m_records.size() && m_records[slot].isUsed && m_records[slot].generation == generation;
        return isCurrent ? slot : noIndex;
    }

    JobRecord& operator[](JobIndex index) { return m_records[index]; }
    const JobRecord& operator[](JobIndex index) const { return m_records[index]; }
    uint32_t size() const { return static_cast<uint32_t>(m_records.size()); }

private:
    std::vector<JobRecord> m_records;
    std::vector<JobIndex> m_freeSlots;
};

} // namespace hickoryknot
