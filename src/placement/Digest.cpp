#include "placement/Digest.h"

#include <bit>
#include <vector>
#include <xxhash.h>

namespace hickoryknot {

namespace {

// Collects numbers and hashes them at the end.
class Numbers {
public:
    template <typename... Values> void add(Values... values) { (m_values.push_back(toNumber(values)), ...); }

    uint64_t hash() const { return XXH3_64bits(m_values.data(), m_values.size() * sizeof(uint64_t)); }

private:
    static uint64_t toNumber(double value) { return std::bit_cast<uint64_t>(value); }
    static uint64_t toNumber(TimePoint value) { return static_cast<uint64_t>(value.time_since_epoch().count()); }
    static uint64_t toNumber(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }
    template <typename Integer> static uint64_t toNumber(Integer value) { return static_cast<uint64_t>(value); }

    std::vector<uint64_t> m_values;
};

void addResources(Numbers& numbers, const Resources& amount)
{
    numbers.add(amount.millicores.count(), amount.mebibytes.count(), amount.accelerators.count());
}

void addWorkers(Numbers& numbers, const EngineState& state)
{
    for (WorkerIndex index = 0; index < state.workers.size(); ++index) {
        const PlacementWorker& worker = state.workers[index];
        numbers.add(state.workers.name(index).value(), worker.rack, worker.runs, worker.isKnown, worker.isLeaving,
            worker.isOnProbation, worker.failures.value(), worker.nextProbeAt, worker.holdDue);
        addResources(numbers, worker.capacity);
        addResources(numbers, worker.free);
        addResources(numbers, worker.held);
        for (RunIndex run = worker.firstRun; run != noIndex; run = state.runs[run].next) {
            const Run& entry = state.runs[run];
            numbers.add(
                entry.job, entry.task, entry.startedAt, entry.expectedEnd, entry.used.count(), entry.isStopping);
        }
    }
}

void addJobs(Numbers& numbers, const EngineState& state)
{
    for (JobIndex index = 0; index < state.jobs.size(); ++index) {
        const JobRecord& job = state.jobs[index];
        numbers.add(job.generation, job.isUsed);
        if (!job.isUsed)
            continue;
        numbers.add(job.id.value(), job.row, job.team, job.sequence, job.running, job.finished, job.failed,
            job.isCancelled, job.isRefused, job.isBroken, job.isWaiting, job.rank, job.waitingSince, job.notBefore,
            job.heldTasks, job.failures.value(), job.failuresInRow, job.avoidedWorker, job.runSeconds.mean());
        for (const uint32_t task : job.queuedTasks)
            numbers.add(task);
    }
}

void addTable(Numbers& numbers, const EngineState& state)
{
    for (const RowRecord& record : state.rows) {
        const Row& row = record.row;
        numbers.add(row.name.value(), row.weight, row.priority, row.maxRunning, row.hours.startMinute,
            row.hours.endMinute, row.waitBound.count(), row.placement, row.isPreemptible, row.isUrgent,
            row.isRepeatable, record.running, record.waitingJobs, record.nextQueue, record.runRatio.mean());
        addResources(numbers, record.used);
    }
    for (TeamIndex team = 0; team < state.teams.size(); ++team) {
        numbers.add(state.teams.name(team).value());
        addResources(numbers, state.teams[team].quota);
        addResources(numbers, state.teams[team].used);
    }
}

} // namespace

uint64_t digestOf(const EngineState& state)
{
    Numbers numbers;
    addTable(numbers, state);
    addWorkers(numbers, state);
    addJobs(numbers, state);
    for (const Reservation& reservation : state.reservations) {
        if (!reservation.isUsed())
            continue;
        numbers.add(reservation.job, reservation.kind, reservation.due, reservation.isLent);
        for (const Hold& hold : reservation.holds)
            numbers.add(hold.worker, hold.tasks);
    }
    numbers.add(state.backOff.fingerprint(), state.nextSequence, state.startsSinceOverdue);
    return numbers.hash();
}

} // namespace hickoryknot
