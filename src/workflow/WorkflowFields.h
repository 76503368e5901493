#pragma once

#include <cmath>

#include "state/StateFields.h"
#include "workflow/WorkflowCommand.h"
#include "workflow/WorkflowRecord.h"

namespace hickoryknot::workflow {

/// First format of snapshots with crash counts; older snapshots are read without them.
constexpr uint64_t crashCountsFormat = 2;
/// First format of snapshots and log entries with organisations.
constexpr uint64_t organisationsFormat = 4;
/// First format of snapshots with the summary of the run time model.
constexpr uint64_t runTimesFormat = 5;
/// First format of snapshots with cancellations of unknown workflows.
constexpr uint64_t earlyCancellationsFormat = 6;
/// First format of snapshots and log entries with the number of the report that a worker's profile comes from.
constexpr uint64_t reportNumbersFormat = 7;

// The largest recorded value of each enumeration; larger values are rejected as corrupt.
constexpr RunOutcome lastValueOf(RunOutcome) { return RunOutcome::WorkerMayHaveCrashed; }
constexpr TaskOutcome lastValueOf(TaskOutcome) { return TaskOutcome::Failed; }
constexpr WorkflowPhase lastValueOf(WorkflowPhase) { return WorkflowPhase::Cancelled; }
constexpr FailureCause lastValueOf(FailureCause) { return FailureCause::WorkerCrashes; }

/// Factor between the weight of an organisation and its stored value.
constexpr double weightScale = 1000;

// Each overload lists the members of one structure in serialisation order.

template <typename V> void visitFields(V& visit, SameAs<StepRef> auto& x) { visit(x.workflow, x.occurrence, x.step); }
template <typename V> void visitFields(V& visit, SameAs<TaskRef> auto& x) { visit(x.step, x.index); }
template <typename V> void visitFields(V& visit, SameAs<RunRef> auto& x) { visit(x.task, x.run); }
template <typename V> void visitFields(V& visit, SameAs<StepSpec> auto& x)
{
    visit(x.count, x.perTask, x.estimatedRunTime, x.dependencies, x.isCheckpointing, x.isGang, x.prefersOneRack,
        x.requiredLabel, x.dataRack, x.maxPerWorker, x.allowsSpeculativeRuns, x.isLongRunning, x.image, x.latencyTarget,
        x.usesSpareCapacity, x.maxUnavailable);
}
template <typename V> void visitFields(V& visit, SameAs<WorkflowSpec> auto& x)
{
    visit(x.command, x.steps, x.repeatCount, x.firstMs, x.intervalMs);
}
template <typename V> void visitFields(V& visit, SameAs<PermissionCost> auto& x)
{
    visit(x.isNeeded, x.perCall, x.perWorker, x.validity);
}
template <typename V> void visitFields(V& visit, SameAs<Queue> auto& x)
{
    visit(x.name, x.callerHost, x.urlPrefix, x.pool, x.priority, x.maxAttempts, x.stretchPermille, x.targetLatency,
        x.callTimeout, x.permission);
    if (visit.format() >= organisationsFormat)
        visit(x.isPublic);
}
template <typename V> void visitFields(V& visit, SameAs<Pool> auto& x)
{
    visit(x.name, x.rejectsOverload, x.isStandby);
}
// The weight is stored in thousandths, since fields hold integers.
inline void visitFields(FieldWriter& visit, const Organisation& x)
{
    visit(x.name, x.keys, static_cast<uint64_t>(std::llround(x.weight * weightScale)), x.limit);
}
inline void visitFields(FieldReader& visit, Organisation& x)
{
    uint64_t weight = 0;
    visit(x.name, x.keys, weight, x.limit);
    x.weight = static_cast<double>(weight) / weightScale;
}
template <typename V> void visitFields(V& visit, SameAs<QueueTable> auto& x)
{
    visit(x.version, x.queues, x.pools, x.document);
    if (visit.format() >= organisationsFormat)
        visit(x.organisations);
}
template <typename V> void visitFields(V& visit, SameAs<WorkerIncarnation> auto& x)
{
    visit(x.worker, x.startTimeMs, x.address);
}
template <typename V> void visitFields(V& visit, SameAs<WorkerProfile> auto& x)
{
    visit(x.incarnation, x.pool, x.zone, x.rack, x.labels, x.capacity, x.isDraining);
    if (visit.format() >= reportNumbersFormat)
        visit(x.sinceReport);
}
template <typename V> void visitFields(V& visit, SameAs<TaskRecord> auto& x)
{
    visit(x.outcome, x.run, x.failures, x.isPlaced, x.incarnationIndex, x.checkpoint);
    if (visit.format() >= crashCountsFormat)
        visit(x.crashes, x.unconfirmedCrashes);
    if (visit.format() >= organisationsFormat)
        visit(x.thirdCrashRun);
}
template <typename V> void visitFields(V& visit, SameAs<StepRecord> auto& x)
{
    visit(x.tasks, x.open, x.placed, x.gangFailures, x.lastFailedRun);
}
template <typename V> void visitFields(V& visit, SameAs<OccurrenceRecord> auto& x)
{
    visit(x.number, x.isFinished, x.steps);
}
template <typename V> void visitFields(V& visit, SameAs<WorkflowRecord> auto& x)
{
    visit(x.id, x.queue, x.pool, x.maxAttempts, x.spec, x.phase, x.acceptedMs, x.hasStarted, x.occurrences,
        x.begunOccurrences, x.finishedOccurrences, x.placed);
    if (visit.format() >= crashCountsFormat)
        visit(x.failureCause);
    if (visit.format() >= organisationsFormat)
        visit(x.organisation);
}
template <typename V> void visitFields(V& visit, SameAs<EarlyCancellation::Key> auto& x)
{
    visit(x.id, x.organisation);
}
template <typename V> void visitFields(V& visit, SameAs<EarlyCancellation> auto& x)
{
    visit(x.key, x.queue, x.isWithoutOrganisations);
}

template <typename V> void visitFields(V& visit, SameAs<ReplaceTable> auto& x) { visit(x.table); }
template <typename V> void visitFields(V& visit, SameAs<AcceptWorkflow> auto& x)
{
    visit(x.id, x.queue, x.pool, x.maxAttempts, x.spec, x.acceptedMs);
    if (visit.format() >= organisationsFormat)
        visit(x.organisation);
}
template <typename V> void visitFields(V& visit, SameAs<CancelWorkflow> auto& x) { visit(x.id); }
template <typename V> void visitFields(V& visit, SameAs<CancelUnknownWorkflow> auto& x)
{
    visit(x.id, x.queue, x.organisation);
}
template <typename V> void visitFields(V& visit, SameAs<RemoveEarlyCancellations> auto& x) { visit(x.keys); }
template <typename V> void visitFields(V& visit, SameAs<RemoveWorkflows> auto& x) { visit(x.ids); }
template <typename V> void visitFields(V& visit, SameAs<BeginOccurrence> auto& x) { visit(x.id, x.occurrence); }
template <typename V> void visitFields(V& visit, SameAs<PlaceRuns::Entry> auto& x) { visit(x.run, x.incarnationIndex); }
template <typename V> void visitFields(V& visit, SameAs<PlaceRuns> auto& x) { visit(x.incarnations, x.entries); }
template <typename V> void visitFields(V& visit, SameAs<EndRuns::Entry> auto& x)
{
    visit(x.run, x.outcome, x.checkpoint);
}
template <typename V> void visitFields(V& visit, SameAs<EndRuns> auto& x) { visit(x.entries); }
template <typename V> void visitFields(V& visit, SameAs<RecordWorkers> auto& x) { visit(x.profiles); }
template <typename V> void visitFields(V& visit, SameAs<RemoveWorkers> auto& x) { visit(x.incarnations); }
template <typename V> void visitFields(V& visit, SameAs<RecordStarts> auto& x) { visit(x.ids); }
template <typename V> void visitFields(V& visit, SameAs<RecordRunTimes> auto& x) { visit(x.summary); }

} // namespace hickoryknot::workflow
