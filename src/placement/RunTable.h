#pragma once

#include <vector>

#include "placement/Run.h"

namespace hickoryknot {

/// All running tasks in a flat array; the entries of ended tasks are reused.
class RunTable {
public:
    RunIndex add(const Run& run)
    {
        if (m_freeIndices.empty()) {
            m_runs.push_back(run);
            // Reserves for every entry, so that ending a task never allocates.
            m_freeIndices.reserve(m_runs.capacity());
            return static_cast<RunIndex>(m_runs.size() - 1);
        }
        const RunIndex index = m_freeIndices.back();
        m_freeIndices.pop_back();
        m_runs[index] = run;
        return index;
    }

    void remove(RunIndex index)
    {
        m_runs[index] = {};
        m_freeIndices.push_back(index);
    }

    Run& operator[](RunIndex index) { return m_runs[index]; }
    const Run& operator[](RunIndex index) const { return m_runs[index]; }

private:
    std::vector<Run> m_runs;
    std::vector<RunIndex> m_freeIndices;
};

} // namespace hickoryknot
