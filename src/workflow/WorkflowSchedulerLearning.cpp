// What the scheduler learns from ended runs, and how learned run times reach its decisions.

#include <algorithm>

#include "workflow/WorkflowScheduler.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

namespace {

/// Interval at which workers get their learned speeds; a hash and a look-up for each worker.
constexpr Duration speedRefreshPeriod = 100ms;
/// Minimum time between two records of the summary, a few KiB each.
constexpr Duration summaryPeriod = 5s;
/// Samples from which a new summary is worth its log entry.
constexpr uint64_t minSamplesPerSummary = 16;
/// A run whose start was acknowledged later than this fraction of its run time, and than this time, after the first
/// attempt may have started at any moment between. Several round trips through another host are usual under load; the
/// end is reported about as late, so the two delays offset each other.
constexpr int64_t startUncertaintyDivisor = 4;
constexpr Duration maxStartDelay = 100ms;

WorkKind kindOf(const QueueName& queue, const StepSpec& spec)
{
    return { .queue = queue, .image = spec.image, .isGang = spec.isGang };
}

} // namespace

Duration WorkflowScheduler::learnedRunTime(const QueueName& queue, const StepSpec& spec) const
{
    if (!m_settings.learnsRunTimes || spec.isLongRunning)
        return spec.estimatedRunTime;
    return m_runTimeModel.expectedRunTime(kindOf(queue, spec), spec.estimatedRunTime).median;
}

std::vector<Duration> WorkflowScheduler::learnedRunTimes(const QueueName& queue, const WorkflowSpec& spec) const
{
    std::vector<Duration> times;
    times.reserve(spec.steps.size());
    for (const auto& step : spec.steps)
        times.push_back(learnedRunTime(queue, step));
    return times;
}

void WorkflowScheduler::restoreRunTimes(TimePoint now)
{
    m_runTimeSummaryError.reset();
    m_learnedGangs.clear();
    m_recordedRevision = 0;
    m_nextSummaryAt = now + summaryPeriod;
    m_nextSpeedRefreshAt = now;
    if (!m_settings.learnsRunTimes)
        return;
    if (const auto restored = m_runTimeModel.restore(m_state.runTimeSummary(), now); !restored)
        m_runTimeSummaryError = restored.error();
    refreshSpeeds(now);
    for (const auto& [ref, run] : m_runController.runs()) {
        const WorkflowRecord* record = m_state.find(ref.task.step.workflow);
        if (record)
            m_runController.setLearnedRunTime(
                ref, timeAtSpeed(learnedRunTime(record->queue, run.spec), m_runTimeModel.speedOf(run.incarnation)));
    }
}

void WorkflowScheduler::refreshSpeeds(TimePoint now)
{
    if (!m_settings.learnsRunTimes || now < m_nextSpeedRefreshAt)
        return;
    m_nextSpeedRefreshAt = now + speedRefreshPeriod;
    for (auto& [incarnation, worker] : m_workerTracker.workers())
        worker.speed = m_runTimeModel.speedOf(incarnation);
}

// A gang is one sample: the first member that is done ends it, and the others may report their ends later.
bool WorkflowScheduler::isFirstEndOfGang(const RunRef& run)
{
    const auto tracked = m_trackedWorkflows.find(run.task.step.workflow);
    if (tracked == m_trackedWorkflows.end())
        return false;
    const auto [learned, isNew] = m_learnedGangs[run.task.step.workflow].try_emplace(run.task.step, run.run);
    return isNew || std::exchange(learned->second, run.run) < run.run;
}

// Leaves out runs whose start is not known, and those that do not show the usual time of their kind: resumed ones,
// those away from their data or spread over racks, and those that use only what others leave.
void WorkflowScheduler::learnFromEnd(const TrackedRun& run, RunOutcome outcome, TimePoint now)
{
    const WorkflowRecord* record = m_state.find(run.run.task.step.workflow);
    const TrackedWorker* worker = m_workerTracker.find(run.incarnation);
    const bool isUsual = !run.isResumed && !run.spec.isLongRunning && !run.spec.usesSpareCapacity;
    if (!m_settings.learnsRunTimes || !record || !worker || !run.acknowledgedAt || !run.firstSentAt || !isUsual)
        return;
    if (!run.spec.dataRack.isEmpty() && worker->profile.rack != run.spec.dataRack)
        return;
    FinishedRun finished { .kind = kindOf(record->queue, run.spec),
        .workers = { run.incarnation },
        .declared = run.spec.estimatedRunTime,
        .ran = run.endedAt - *run.acknowledgedAt,
        .isComplete = outcome == RunOutcome::Done };
    // It may have ended long before its loss was detected.
    if (!provesExecution(outcome) || outcome == RunOutcome::WorkerCrashed)
        finished.ran = worker->lastContactAt - *run.acknowledgedAt;
    const Duration startDelay = *run.acknowledgedAt - *run.firstSentAt;
    if (finished.ran <= Duration(0) || startDelay > std::max(maxStartDelay, finished.ran / startUncertaintyDivisor))
        return;
    if (run.isGang) {
        if (!finished.isComplete || !isFirstEndOfGang(run.run))
            return;
        std::set<RackId> racks;
        TimePoint complete = *run.acknowledgedAt;
        const RunRef first { .task = { .step = run.run.task.step, .index = 0 }, .run = 0 };
        const auto& runs = m_runController.runs();
        for (auto member = runs.lower_bound(first); member != runs.end(); ++member) {
            if (member->first.task.step != run.run.task.step)
                break;
            const TrackedWorker* other = m_workerTracker.find(member->second.incarnation);
            if (member->first == run.run || member->first.run != run.run.run || !other)
                continue;
            finished.workers.push_back(member->second.incarnation);
            racks.insert(other->profile.rack);
            complete = std::max(complete, member->second.acknowledgedAt.value_or(complete));
        }
        racks.insert(worker->profile.rack);
        if (run.spec.prefersOneRack && racks.size() > 1)
            return;
        // Members make progress once all are present.
        finished.ran = run.endedAt - complete;
    }
    m_runTimeModel.recordEnd(finished, now);
}

void WorkflowScheduler::recordRunTimes(std::vector<WorkflowCommand>& commands, TimePoint now)
{
    // Only together with other commands: an entry of its own would cost a disk write.
    if (!m_settings.learnsRunTimes || commands.empty() || now < m_nextSummaryAt
        || m_runTimeModel.revision() < m_recordedRevision + minSamplesPerSummary)
        return;
    m_nextSummaryAt = now + summaryPeriod;
    m_recordedRevision = m_runTimeModel.revision();
    commands.emplace_back(RecordRunTimes { .summary = m_runTimeModel.summary() });
}

WorkflowSpec WorkflowScheduler::withLearnedRunTimes(const QueueName& queue, WorkflowSpec spec) const
{
    for (auto& step : spec.steps)
        step.estimatedRunTime = learnedRunTime(queue, step);
    return spec;
}

} // namespace hickoryknot::workflow
