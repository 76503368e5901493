#include "placement/TaskEndHandler.h"

#include <algorithm>
#include <cmath>

namespace hickoryknot {

namespace {

constexpr Duration maxJobBackOff = std::chrono::minutes(5);
constexpr Duration maxProbeDelay = std::chrono::seconds(60);
// Reached by two failures of a job without a success in between; the first retry is immediate, on another worker.
constexpr double backOffScoreThreshold = 0.45;
// Repeated failures of one job on one worker are weak evidence against the worker.
constexpr double repeatedFailureWeight = 0.25;

} // namespace

void TaskEndHandler::handle(JobIndex job, uint32_t task, TaskEndReason reason, Duration runTime, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    if (record.taskRuns[task] == noIndex) {
        const bool isNewlyFinished = reason == TaskEndReason::Finished && std::erase(record.queuedTasks, task);
        record.finished += isNewlyFinished;
        // Members that ended before a change of leader don't make the gang incomplete.
        if (record.isIncompleteGang && record.queuedTasks.empty()) {
            record.isIncompleteGang = false;
            std::erase(m_state.incompleteGangs, job);
        }
        m_reservations.cancelIfExcess(job, now);
        m_allocator.requeue(job, now);
        return;
    }
    const Run run = m_state.runs[record.taskRuns[task]];
    m_allocator.release(record.taskRuns[task]);
    switch (reason) {
    case TaskEndReason::Finished:
        handleFinish(job, task, run.worker, runTime);
        break;
    case TaskEndReason::Failed:
        handleFailure(job, task, run.worker, run.startedAt, now);
        break;
    case TaskEndReason::Lost:
    case TaskEndReason::Preempted:
        requeueTask(job, task, true);
        break;
    case TaskEndReason::NeverStarted:
        requeueTask(job, task, false);
        break;
    }
    const bool isNowIncomplete = record.kind == JobKind::Gang && !record.queuedTasks.empty() && record.running;
    if (isNowIncomplete && !record.isIncompleteGang) {
        record.isIncompleteGang = true;
        m_state.incompleteGangs.push_back(job);
    }
    if (!record.isWaiting) {
        record.waitingSince = now;
        record.queuedSince = now;
        record.waitCause = record.notBefore > now ? WaitCause::BackOff : WaitCause::QueueOrder;
    }
    requeueStoppedGang(job, now);
    m_allocator.requeue(job, now);
}

void TaskEndHandler::requeueStoppedGang(JobIndex job, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    if (record.isIncompleteGang && !record.running) {
        record.isIncompleteGang = false;
        std::erase(m_state.incompleteGangs, job);
        m_allocator.requeue(job, now);
    }
}

void TaskEndHandler::dropQueued(JobIndex job, TimePoint now)
{
    m_state.jobs[job].queuedTasks.clear();
    m_reservations.cancelForJob(job, now);
    m_allocator.requeue(job, now);
}

void TaskEndHandler::handleFinish(JobIndex job, uint32_t task, WorkerIndex worker, Duration runTime)
{
    JobRecord& record = m_state.jobs[job];
    recordRunTime(record, runTime);
    record.failureScore.recordSuccess();
    record.consecutiveFailures = 0;
    record.avoidedWorker = noIndex;
    record.notBefore = TimePoint::min();
    m_state.workers[worker].failureScore.recordSuccess();
    m_state.workers[worker].lastFailedJob = noIndex;
    endProbationIfRecovered(worker);
    if (record.kind == JobKind::Service && !record.isCancelled)
        record.queuedTasks.push_back(task);
    else
        ++record.finished;
}

void TaskEndHandler::recordRunTime(JobRecord& record, Duration runTime)
{
    if (runTime <= Duration::zero() || record.kind == JobKind::Service)
        return;
    RowRecord& row = m_state.rowOf(record);
    const double seconds = std::chrono::duration<double>(runTime).count();
    record.runSeconds.add(seconds);
    row.runSeconds.add(seconds);
    if (record.expectedRun > Duration::zero())
        row.logRunTimeRatio.add(std::log(seconds / std::chrono::duration<double>(record.expectedRun).count()));
}

void TaskEndHandler::handleFailure(JobIndex job, uint32_t task, WorkerIndex worker, TimePoint startedAt, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    // Evaluated before this failure changes the score.
    const bool isWorkerUnreliable
        = m_state.workers[worker].failureScore.isHigh() || m_state.workers[worker].isOnProbation;
    record.avoidedWorker = worker;
    if (m_state.settings.mechanisms.scoresFailures)
        updateFailureScores(job, worker, startedAt, now);
    if (!isWorkerUnreliable && record.kind != JobKind::Service
        && ++record.taskFailures[task] >= m_state.settings.maxTaskFailures) {
        ++record.failed;
        // A gang that can't be complete any more fails as a whole.
        if (record.kind == JobKind::Gang) {
            record.failed += static_cast<uint32_t>(record.queuedTasks.size());
            dropQueued(job, now);
        }
        return;
    }
    requeueTask(job, task, true);
}

void TaskEndHandler::updateFailureScores(JobIndex job, WorkerIndex worker, TimePoint startedAt, TimePoint now)
{
    JobRecord& record = m_state.jobs[job];
    PlacementWorker& workerRecord = m_state.workers[worker];
    const double workerScore = workerRecord.failureScore.value();
    const bool isRepeated = workerRecord.lastFailedJob == job;
    workerRecord.failureScore.recordFailure(record.failureScore.value(), isRepeated ? repeatedFailureWeight : 1);
    workerRecord.lastFailedJob = job;
    if (workerRecord.isOnProbation || workerRecord.failureScore.isHigh())
        startProbation(worker, now);
    record.failureScore.recordFailure(workerScore);

    // Failures of tasks that started before the last failure don't increase the backoff.
    if (record.failureScore.value() < backOffScoreThreshold || startedAt < record.notBefore)
        return;
    ++record.consecutiveFailures;
    record.notBefore = now + m_state.backOff.delayAfter(record.consecutiveFailures, maxJobBackOff);
}

void TaskEndHandler::startProbation(WorkerIndex worker, TimePoint now)
{
    PlacementWorker& record = m_state.workers[worker];
    // Each failed probe doubles the delay until the next.
    const Duration previous = record.isOnProbation ? record.probeDelay * 2 : Duration(1s);
    record.probeDelay = std::min<Duration>(previous, maxProbeDelay);
    record.nextProbeAt = now + record.probeDelay;
    record.isProbeSignalled = false;
    if (record.isOnProbation)
        return;
    record.isOnProbation = true;
    m_state.workersOnProbation.push_back(worker);
    m_reservations.cancelForWorker(worker, now);
    m_state.workers.reindex(worker);
}

void TaskEndHandler::endProbationIfRecovered(WorkerIndex worker)
{
    PlacementWorker& record = m_state.workers[worker];
    if (!record.isOnProbation)
        return;
    // After a successful probe, the next one follows immediately.
    record.nextProbeAt = TimePoint::min();
    record.isProbeSignalled = false;
    record.probeDelay = 1s;
    if (!record.failureScore.isLow())
        return;
    record.isOnProbation = false;
    std::erase(m_state.workersOnProbation, worker);
    m_state.workers.reindex(worker);
    m_allocator.markCapacityGain(worker);
}

void TaskEndHandler::requeueTask(JobIndex job, uint32_t task, bool mayHaveRun)
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
