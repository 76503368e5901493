#include "placement/Digest.h"

#include <bit>
#include <vector>
#include <xxhash.h>

namespace hickoryknot {

namespace {

// Collects numbers and hashes them at the end.
class DigestBuilder {
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

void addResources(DigestBuilder& builder, const Resources& amount)
{
    builder.add(amount.millicores.count(), amount.mebibytes.count(), amount.accelerators.count());
}

void addWorkers(DigestBuilder& builder, const EngineState& state)
{
    for (WorkerIndex index = 0; index < state.workers.size(); ++index) {
        const PlacementWorker& worker = state.workers[index];
        builder.add(state.workers.name(index).value(), worker.rack, worker.runs, worker.isKnown, worker.isLeaving,
            worker.isOnProbation, worker.failureScore.value(), worker.nextProbeAt, worker.backfillDeadline);
        addResources(builder, worker.capacity);
        addResources(builder, worker.free);
        addResources(builder, worker.reserved);
        for (RunIndex run = worker.firstRun; run != noIndex; run = state.runs[run].next) {
            const Run& entry = state.runs[run];
            builder.add(
                entry.job, entry.task, entry.startedAt, entry.expectedEnd, entry.used.count(), entry.isStopping);
        }
    }
}

void addJobs(DigestBuilder& builder, const EngineState& state)
{
    for (JobIndex index = 0; index < state.jobs.size(); ++index) {
        const JobRecord& job = state.jobs[index];
        builder.add(job.generation, job.isUsed);
        if (!job.isUsed)
            continue;
        builder.add(job.id.value(), job.row, job.team, job.sequence, job.running, job.finished, job.failed,
            job.isCancelled, job.isRefused, job.isIncompleteGang, job.isWaiting, job.rank, job.waitingSince,
            job.notBefore, job.reservedTasks, job.failureScore.value(), job.consecutiveFailures, job.avoidedWorker,
            job.runSeconds.mean());
        for (const uint32_t task : job.queuedTasks)
            builder.add(task);
    }
}

void addTable(DigestBuilder& builder, const EngineState& state)
{
    for (const RowRecord& record : state.rows) {
        const Row& row = record.row;
        builder.add(row.name.value(), row.weight, row.priority, row.maxRunning, row.hours.startMinute,
            row.hours.endMinute, row.waitBound.count(), row.placement, row.isPreemptible, row.isUrgent,
            row.isRepeatable, record.running, record.waitingJobs, record.nextQueue, record.logRunTimeRatio.mean());
        addResources(builder, record.used);
    }
    for (TeamIndex team = 0; team < state.teams.size(); ++team) {
        builder.add(state.teams.name(team).value());
        addResources(builder, state.teams[team].quota);
        addResources(builder, state.teams[team].used);
    }
}

} // namespace

uint64_t digestOf(const EngineState& state)
{
    DigestBuilder builder;
    addTable(builder, state);
    addWorkers(builder, state);
    addJobs(builder, state);
    for (const Reservation& reservation : state.reservations) {
        if (!reservation.isUsed())
            continue;
        builder.add(reservation.job, reservation.kind, reservation.expectedReadyAt, reservation.allowsBackfill);
        for (const WorkerAllocation& allocation : reservation.allocations)
            builder.add(allocation.worker, allocation.tasks);
    }
    builder.add(state.backOff.fingerprint(), state.nextSequence, state.startsSinceOverdueStart);
    return builder.hash();
}

} // namespace hickoryknot
