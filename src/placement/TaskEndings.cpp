#include "placement/TaskEndings.h"

#include <algorithm>
#include <cmath>

namespace hickoryknot {

namespace {

constexpr Duration longestJobBackOff = std::chrono::minutes(5);
constexpr Duration longestProbeWait = std::chrono::seconds(60);
// Two failures of a job without a success between them; the first try again goes at once to another worker.
constexpr double backOffScore = 0.45;
// Further failures of one job on one worker say little more about the worker.
constexpr double repeatedEvidence = 0.25;

} // namespace

void TaskEndings::end(JobIndex job, uint32_t task, TaskEndReason how, Duration runTime, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    if (record.taskRuns[task] == noIndex) {
        const bool isKnownDone = how == TaskEndReason::Finished && std::erase(record.queuedTasks, task);
        record.finished += isKnownDone;
        // Members that ended before a change of leader do not make the gang incomplete.
        if (record.isBroken && record.queuedTasks.empty()) {
            record.isBroken = false;
            std::erase(m_state.brokenGangs, job);
        }
        m_reservations.dropExcess(job, now);
        m_ledger.requeue(job, now);
        return;
    }
    const Run run = m_state.runs[record.taskRuns[task]];
    m_ledger.release(record.taskRuns[task]);
    switch (how) {
    case TaskEndReason::Finished:
        finish(job, task, run.worker, runTime);
        break;
    case TaskEndReason::Failed:
        fail(job, task, run.worker, run.startedAt, now);
        break;
    case TaskEndReason::Lost:
    case TaskEndReason::Preempted:
        queueAgain(job, task, true);
        break;
    case TaskEndReason::NeverStarted:
        queueAgain(job, task, false);
        break;
    }
    const bool isGangBroken = record.kind == JobKind::Gang && !record.queuedTasks.empty() && record.running;
    if (isGangBroken && !record.isBroken) {
        record.isBroken = true;
        m_state.brokenGangs.push_back(job);
    }
    if (!record.isWaiting) {
        record.waitingSince = now;
        record.queuedSince = now;
        record.waitedFor = record.notBefore > now ? WaitCause::BackOff : WaitCause::Turn;
    }
    restartIfEmpty(job, now);
    m_ledger.requeue(job, now);
}

void TaskEndings::restartIfEmpty(JobIndex job, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    if (record.isBroken && !record.running) {
        record.isBroken = false;
        std::erase(m_state.brokenGangs, job);
        m_ledger.requeue(job, now);
    }
}

void TaskEndings::dropQueued(JobIndex job, TimePoint now)
{
    m_state.jobs[job].queuedTasks.clear();
    m_reservations.dropJob(job, now);
    m_ledger.requeue(job, now);
}

void TaskEndings::finish(JobIndex job, uint32_t task, WorkerIndex worker, Duration runTime)
{
    JobRecord& record = m_state.jobs[job];
    learn(record, runTime);
    record.failures.succeed();
    record.failuresInRow = 0;
    record.avoidedWorker = noIndex;
    record.notBefore = TimePoint::min();
    m_state.workers[worker].failures.succeed();
    m_state.workers[worker].lastFailedJob = noIndex;
    endProbationIfProven(worker);
    if (record.kind == JobKind::Service && !record.isCancelled)
        record.queuedTasks.push_back(task);
    else
        ++record.finished;
}

void TaskEndings::learn(JobRecord& record, Duration runTime)
{
    if (runTime <= Duration::zero() || record.kind == JobKind::Service)
        return;
    RowRecord& row = m_state.rowOf(record);
    const double seconds = std::chrono::duration<double>(runTime).count();
    record.runSeconds.add(seconds);
    row.runSeconds.add(seconds);
    if (record.expectedRun > Duration::zero())
        row.runRatio.add(std::log(seconds / std::chrono::duration<double>(record.expectedRun).count()));
}

void TaskEndings::fail(JobIndex job, uint32_t task, WorkerIndex worker, TimePoint startedAt, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    // Judged before this failure changes the score.
    const bool isWorkerSuspect = m_state.workers[worker].failures.isHigh() || m_state.workers[worker].isOnProbation;
    record.avoidedWorker = worker;
    if (m_state.settings.mechanisms.scoresFailures)
        blame(job, worker, startedAt, now);
    if (!isWorkerSuspect && record.kind != JobKind::Service
        && ++record.taskFailures[task] >= m_state.settings.maxTaskFailures) {
        ++record.failed;
        // A gang that cannot be whole again is given up.
        if (record.kind == JobKind::Gang) {
            record.failed += static_cast<uint32_t>(record.queuedTasks.size());
            dropQueued(job, now);
        }
        return;
    }
    queueAgain(job, task, true);
}

void TaskEndings::blame(JobIndex job, WorkerIndex worker, TimePoint startedAt, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    PlacementWorker& onWorker = m_state.workers[worker];
    const double workerScore = onWorker.failures.value();
    const bool isRepeated = onWorker.lastFailedJob == job;
    onWorker.failures.fail(record.failures.value(), isRepeated ? repeatedEvidence : 1);
    onWorker.lastFailedJob = job;
    if (onWorker.isOnProbation || onWorker.failures.isHigh())
        startProbation(worker, now);
    record.failures.fail(workerScore);

    // Tasks that started before the last failure add nothing to the count of tries.
    if (record.failures.value() < backOffScore || startedAt < record.notBefore)
        return;
    ++record.failuresInRow;
    record.notBefore = now + m_state.backOff.after(record.failuresInRow, longestJobBackOff);
}

void TaskEndings::startProbation(WorkerIndex worker, TimePoint now)
{
    PlacementWorker& record = m_state.workers[worker];
    // Each failed probe doubles the wait before the next.
    const Duration previous = record.isOnProbation ? record.probeDelay * 2 : Duration(1s);
    record.probeDelay = std::min<Duration>(previous, longestProbeWait);
    record.nextProbeAt = now + record.probeDelay;
    record.isProbeOffered = false;
    if (record.isOnProbation)
        return;
    record.isOnProbation = true;
    m_state.probation.push_back(worker);
    m_reservations.dropWorker(worker, now);
    m_state.workers.reindex(worker);
}

void TaskEndings::endProbationIfProven(WorkerIndex worker)
{
    PlacementWorker& record = m_state.workers[worker];
    if (!record.isOnProbation)
        return;
    // A probe that succeeds calls for the next one at once.
    record.nextProbeAt = TimePoint::min();
    record.isProbeOffered = false;
    record.probeDelay = 1s;
    if (!record.failures.isLow())
        return;
    record.isOnProbation = false;
    std::erase(m_state.probation, worker);
    m_state.workers.reindex(worker);
    m_ledger.noteGain(worker);
}

void TaskEndings::queueAgain(JobIndex job, uint32_t task, bool mayHaveRun)
{
    JobRecord& record = m_state.jobs[job];
    if (record.isCancelled || record.isRefused)
        return;
    if (mayHaveRun && !record.isRepeatable) {
        ++record.failed;
        return;
    }
    record.queuedTasks.push_back(task);
}

} // namespace hickoryknot
