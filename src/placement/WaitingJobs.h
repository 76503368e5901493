#pragma once

#include <unordered_map>
#include <vector>

#include "placement/JobTable.h"
#include "placement/RowRecord.h"
#include "placement/TeamQueue.h"

namespace hickoryknot {

/// The queues of waiting jobs: per row and team in order of (rank, sequence), and per row by age.
class WaitingJobs {
public:
    /// The queue of a team in a row, made on first use.
    QueueIndex queueFor(RowIndex, RowRecord&, TeamIndex);

    /// Puts a job into its queue; its rank, sequence and waitingSince are set.
    void add(JobTable&, RowRecord&, JobIndex);
    /// Makes a waiting job the newest of its row.
    void renewAge(JobTable&, RowRecord&, JobIndex);
    /// Takes a job out of its queue if it waits.
    void remove(JobTable&, RowRecord&, JobIndex);

    TeamQueue& operator[](QueueIndex queue) { return m_queues[queue]; }
    const TeamQueue& operator[](QueueIndex queue) const { return m_queues[queue]; }
    size_t count() const { return m_count; }

private:
    static void linkByAge(JobTable&, RowRecord&, JobIndex);
    static void unlinkByAge(JobTable&, RowRecord&, JobIndex);

    std::vector<TeamQueue> m_queues;
    // Never iterated.
    std::unordered_map<uint64_t, QueueIndex> m_byRowAndTeam;
    size_t m_count { 0 };
};

} // namespace hickoryknot
