#pragma once

#include <vector>

#include "placement/Run.h"

namespace hickoryknot {

/// All running tasks in one flat array with reuse of ended entries.
class RunTable {
public:
    RunIndex add(const Run& run)
    {
        if (m_unused.empty()) {
            m_runs.push_back(run);
            // Room for every entry, so that ending tasks never allocates.
            m_unused.reserve(m_runs.capacity());
            return static_cast<RunIndex>(m_runs.size() - 1);
        }
        const RunIndex index = m_unused.back();
        m_unused.pop_back();
        m_runs[index] = run;
        return index;
    }

    void remove(RunIndex index)
    {
        m_runs[index] = {};
        m_unused.push_back(index);
    }

    Run& operator[](RunIndex index) { return m_runs[index]; }
    const Run& operator[](RunIndex index) const { return m_runs[index]; }

private:
    std::vector<Run> m_runs;
    std::vector<RunIndex> m_unused;
};

} // namespace hickoryknot
