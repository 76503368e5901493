#include "placement/WaitingJobs.h"

#include <algorithm>
#include <tuple>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

// Lower bound of the job's position in the queue.
std::vector<JobIndex>::iterator positionOf(const JobTable& jobs, TeamQueue& queue, JobIndex job)
{
    const auto isBefore = [&](JobIndex a, JobIndex b) {
        return std::tie(jobs[a].rank, jobs[a].sequence) < std::tie(jobs[b].rank, jobs[b].sequence);
    };
    const auto first = queue.jobs.begin() + queue.first;
    // Most jobs arrive in order and are appended.
    if (queue.isEmpty() || isBefore(queue.jobs.back(), job))
        return queue.jobs.end();
    return std::lower_bound(first, queue.jobs.end(), job, isBefore);
}

} // namespace

QueueIndex WaitingJobs::queueFor(RowIndex row, RowRecord& record, TeamIndex team)
{
    const uint64_t key = (uint64_t { row } << 32) | team;
    const auto [entry, isNew] = m_byRowAndTeam.try_emplace(key, static_cast<QueueIndex>(m_queues.size()));
    if (isNew) {
        m_queues.push_back({ row, team, {}, 0, 0 });
        record.queues.push_back(entry->second);
    }
    return entry->second;
}

void WaitingJobs::add(JobTable& jobs, RowRecord& row, JobIndex job)
{
    JobRecord& record = jobs[job];
    HICKORYKNOT_ASSERT(!record.isWaiting, "a job is queued twice");
    TeamQueue& queue = m_queues[record.queue];
    // Compacts the array once half of it is unused at the front.
    if (queue.first && queue.first >= queue.jobs.size() / 2) {
        queue.jobs.erase(queue.jobs.begin(), queue.jobs.begin() + queue.first);
        queue.first = 0;
    }
    queue.jobs.insert(positionOf(jobs, queue, job), job);
    queue.blockedAtGeneration = 0;
    row.blockedAtGeneration = 0;

    linkByAge(jobs, row, job);
    record.isWaiting = true;
    ++row.waitingJobs;
    ++m_count;
}

void WaitingJobs::remove(JobTable& jobs, RowRecord& row, JobIndex job)
{
    JobRecord& record = jobs[job];
    if (!record.isWaiting)
        return;
    TeamQueue& queue = m_queues[record.queue];
    if (queue.jobs[queue.first] == job) {
        ++queue.first;
    } else {
        const auto position = positionOf(jobs, queue, job);
        // If the job is the last one, positionOf() finds it by the search, because it isn't before itself.
        HICKORYKNOT_ASSERT(position != queue.jobs.end() && *position == job, "a waiting job is not in its queue");
        queue.jobs.erase(position);
    }
    if (queue.isEmpty()) {
        queue.jobs.clear();
        queue.first = 0;
    }

    unlinkByAge(jobs, row, job);
    record.isWaiting = false;
    --row.waitingJobs;
    --m_count;
}

void WaitingJobs::moveToNewest(JobTable& jobs, RowRecord& row, JobIndex job)
{
    if (!jobs[job].isWaiting || row.newestWaiting == job)
        return;
    unlinkByAge(jobs, row, job);
    linkByAge(jobs, row, job);
}

void WaitingJobs::linkByAge(JobTable& jobs, RowRecord& row, JobIndex job)
{
    JobRecord& record = jobs[job];
    record.olderInRow = row.newestWaiting;
    record.newerInRow = noIndex;
    if (row.newestWaiting != noIndex)
        jobs[row.newestWaiting].newerInRow = job;
    else
        row.oldestWaiting = job;
    row.newestWaiting = job;
}

void WaitingJobs::unlinkByAge(JobTable& jobs, RowRecord& row, JobIndex job)
{
    const JobRecord& record = jobs[job];
    if (record.olderInRow != noIndex)
        jobs[record.olderInRow].newerInRow = record.newerInRow;
    else
        row.oldestWaiting = record.newerInRow;
    if (record.newerInRow != noIndex)
        jobs[record.newerInRow].olderInRow = record.olderInRow;
    else
        row.newestWaiting = record.olderInRow;
}

} // namespace hickoryknot
