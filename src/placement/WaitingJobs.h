#pragma once

#include <unordered_map>
#include <vector>

#include "placement/JobTable.h"
#include "placement/RowRecord.h"
#include "placement/TeamQueue.h"

namespace hickoryknot {

/// Queues of waiting jobs: per row and team, ordered by (rank, sequence), and per row as a list ordered by age.
class WaitingJobs {
public:
    /// The queue of a team in a row, which is created if it doesn't exist.
    QueueIndex queueFor(RowIndex, RowRecord&, TeamIndex);

    /// Adds a job to its queue. Its rank, sequence and waitingSince must be set.
    void add(JobTable&, RowRecord&, JobIndex);
    /// Moves a waiting job to the end of its row's age list.
    void moveToNewest(JobTable&, RowRecord&, JobIndex);
    /// Removes a job from its queue if it is waiting.
    void remove(JobTable&, RowRecord&, JobIndex);

    TeamQueue& operator[](QueueIndex queue) { return m_queues[queue]; }
    const TeamQueue& operator[](QueueIndex queue) const { return m_queues[queue]; }
    size_t count() const { return m_count; }

private:
    static void linkByAge(JobTable&, RowRecord&, JobIndex);
    static void unlinkByAge(JobTable&, RowRecord&, JobIndex);

    std::vector<TeamQueue> m_queues;
    // Never iterated, so that nothing depends on hash order.
    std::unordered_map<uint64_t, QueueIndex> m_byRowAndTeam;
    size_t m_count { 0 };
};

} // namespace hickoryknot
