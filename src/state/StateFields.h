#pragma once

#include <variant>

#include "state/CellCommand.h"
#include "state/CellJob.h"
#include "state/CommandResult.h"
#include "state/FieldReader.h"
#include "state/FieldWriter.h"
#include "state/HostRecord.h"
#include "state/RequestTracker.h"
#include "state/WorkerRecord.h"
#include "state/ZoneCommand.h"
#include "state/ZoneJob.h"
#include "table/Table.h"

namespace hickoryknot {

// The largest valid value of each stored enumeration; larger ones are corrupt.
constexpr RowKind lastValueOf(RowKind) { return RowKind::Team; }
constexpr PlacementStyle lastValueOf(PlacementStyle) { return PlacementStyle::Pack; }
constexpr CutOffRule lastValueOf(CutOffRule) { return CutOffRule::Stop; }
constexpr JobKind lastValueOf(JobKind) { return JobKind::Gang; }
constexpr OutcomeKind lastValueOf(OutcomeKind) { return OutcomeKind::Unknown; }
constexpr ErrorCode lastValueOf(ErrorCode) { return ErrorCode::Internal; }
constexpr RequestPhase lastValueOf(RequestPhase) { return RequestPhase::Ended; }
constexpr CellJobPhase lastValueOf(CellJobPhase) { return CellJobPhase::Ended; }
constexpr ZoneJobPhase lastValueOf(ZoneJobPhase) { return ZoneJobPhase::Ended; }
constexpr TaskPhase lastValueOf(TaskPhase) { return TaskPhase::Failed; }
constexpr TaskResult lastValueOf(TaskResult) { return TaskResult::Stopped; }

/// True for T and const T, so that one overload serves both FieldWriter and FieldReader.
template <typename T, typename Structure>
concept SameAs = std::is_same_v<std::remove_const_t<T>, Structure>;

// Each overload lists the members of one structure in their stored order.

template <typename V> void visitFields(V& visit, SameAs<Resources> auto& x)
{
    visit(x.millicores, x.mebibytes, x.accelerators);
}
template <typename V> void visitFields(V& visit, SameAs<JobNumber> auto& x) { visit(x.number, x.isCellJob); }
template <typename V> void visitFields(V& visit, SameAs<Outcome> auto& x)
{
    visit(x.kind, x.reason, x.message, x.response);
}
template <typename V> void visitFields(V& visit, SameAs<Error> auto& x) { visit(x.code, x.message); }
template <typename V> void visitFields(V& visit, SameAs<HoursOfDay> auto& x) { visit(x.startMinute, x.endMinute); }
template <typename V> void visitFields(V& visit, SameAs<Row> auto& x)
{
    visit(x.name, x.kind, x.weight, x.priority, x.isRepeatable, x.targetWait, x.waitBound, x.queueBound, x.maxRunning,
        x.retryBudgetPercent, x.hours, x.placement, x.cutOff, x.isPreemptible, x.isUrgent, x.quota);
}
template <typename V> void visitFields(V& visit, SameAs<TableChange> auto& x)
{
    visit(x.baseVersion, x.request, x.changedBy, x.rows, x.removed);
}
template <typename V> void visitFields(V& visit, SameAs<TableChangeResult> auto& x)
{
    visit(x.isAccepted, x.version, x.wonBy, x.wonByRequest, x.reason, x.message);
}
template <typename V> void visitFields(V& visit, SameAs<Table::RecordedChange> auto& x)
{
    visit(x.request, x.contentHash, x.result);
}
template <typename V> void visitFields(V& visit, SameAs<JobSpec> auto& x)
{
    visit(x.row, x.team, x.kind, x.tasks, x.perTask, x.expectedRun, x.isRepeatable, x.command);
}
template <typename V> void visitFields(V& visit, SameAs<RequestRecord> auto& x)
{
    visit(x.contentHash, x.phase, x.job, x.host, x.expiresMs, x.outcome);
}
template <typename V> void visitFields(V& visit, SameAs<HostRecord> auto& x)
{
    visit(x.host, x.zone, x.storeId, x.incarnation, x.sinceMs);
}
template <typename V> void visitFields(V& visit, SameAs<ZoneRecord> auto& x)
{
    visit(x.zone, x.epoch, x.generation, x.members, x.sinceMs);
}
template <typename V> void visitFields(V& visit, SameAs<CellJob> auto& x)
{
    visit(x.number, x.spec, x.request, x.phase, x.zone, x.epoch, x.cutOff, x.submittedMs, x.sinceMs, x.reason,
        x.refusedBy, x.outcome);
}
template <typename V> void visitFields(V& visit, SameAs<TaskRecord> auto& x)
{
    visit(x.epoch, x.sinceMs, x.worker, x.exitCode, x.failures, x.losses, x.phase, x.mayHaveRun);
}
template <typename V> void visitFields(V& visit, SameAs<ZoneJob> auto& x)
{
    visit(x.number, x.spec, x.request, x.epoch, x.phase, x.cutOff, x.submittedMs, x.sinceMs, x.tasks, x.queued,
        x.assigned, x.finished, x.failed, x.isOutcomeUnknown, x.canNeverRun, x.reason, x.outcome);
}
template <typename V> void visitFields(V& visit, SameAs<WorkerRecord> auto& x)
{
    visit(x.worker, x.incarnation, x.rack, x.capacity, x.used, x.assigned);
}

// Commands of both logs.
template <typename V> void visitFields(V& visit, SameAs<StartRequest> auto& x)
{
    visit(x.request, x.contentHash, x.host, x.deadlineMs, x.atMs);
}
template <typename V> void visitFields(V& visit, SameAs<EndRequest> auto& x) { visit(x.request, x.outcome, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<AbandonRequests> auto& x) { visit(x.host, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<Expire> auto& x) { visit(x.atMs); }

// Commands of the cell's log.
template <typename V> void visitFields(V& visit, SameAs<SetTable> auto& x) { visit(x.change, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<RecordHost> auto& x)
{
    visit(x.host, x.zone, x.storeId, x.incarnation, x.atMs);
}
template <typename V> void visitFields(V& visit, SameAs<ForgetHosts> auto& x) { visit(x.hosts); }
template <typename V> void visitFields(V& visit, SameAs<SetZoneGroup> auto& x)
{
    visit(x.zone, x.expectedGeneration, x.members, x.startsEmpty, x.atMs);
}
template <typename V> void visitFields(V& visit, SameAs<SubmitCellJob> auto& x)
{
    visit(x.request, x.contentHash, x.spec, x.atMs);
}
template <typename V> void visitFields(V& visit, SameAs<AssignCellJobs::Entry> auto& x)
{
    visit(x.job, x.epoch, x.zone);
}
template <typename V> void visitFields(V& visit, SameAs<AssignCellJobs> auto& x) { visit(x.entries, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<ReturnCellJobs::Entry> auto& x)
{
    visit(x.job, x.epoch, x.canNeverRun, x.reason);
}
template <typename V> void visitFields(V& visit, SameAs<ReturnCellJobs> auto& x) { visit(x.entries, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<ReleaseZone> auto& x) { visit(x.zone, x.epoch, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<FinishCellJobs::Entry> auto& x)
{
    visit(x.job, x.epoch, x.outcome);
}
template <typename V> void visitFields(V& visit, SameAs<FinishCellJobs> auto& x) { visit(x.entries, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<CancelCellJobs> auto& x) { visit(x.jobs, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<ConfirmCutOff> auto& x) { visit(x.zone, x.tableVersion); }

// Commands of a zone's log.
template <typename V> void visitFields(V& visit, SameAs<SubmitZoneJob> auto& x)
{
    visit(x.request, x.contentHash, x.spec, x.atMs);
}
template <typename V> void visitFields(V& visit, SameAs<AdmitCellJobs::Entry> auto& x)
{
    visit(x.job, x.epoch, x.cutOff, x.spec, x.submittedMs);
}
template <typename V> void visitFields(V& visit, SameAs<AdmitCellJobs> auto& x)
{
    visit(x.entries, x.tableVersion, x.cellRevision, x.atMs);
}
template <typename V> void visitFields(V& visit, SameAs<RecordWorkers::Entry> auto& x)
{
    visit(x.worker, x.incarnation, x.rack, x.capacity);
}
template <typename V> void visitFields(V& visit, SameAs<RecordWorkers> auto& x) { visit(x.entries, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<ForgetWorkers> auto& x) { visit(x.workers); }
template <typename V> void visitFields(V& visit, SameAs<PlaceTasks::Entry> auto& x)
{
    visit(x.job, x.task, x.worker, x.incarnation);
}
template <typename V> void visitFields(V& visit, SameAs<PlaceTasks> auto& x) { visit(x.entries, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<EndTasks::Entry> auto& x)
{
    visit(x.job, x.task, x.epoch, x.result, x.exitCode, x.runTime);
}
template <typename V> void visitFields(V& visit, SameAs<EndTasks> auto& x) { visit(x.entries, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<CancelZoneJobs> auto& x) { visit(x.jobs, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<SupersedeJobs> auto& x)
{
    visit(x.jobs, x.cellRevision, x.atMs);
}
template <typename V> void visitFields(V& visit, SameAs<ReturnJobs::Entry> auto& x)
{
    visit(x.job, x.canNeverRun, x.reason);
}
template <typename V> void visitFields(V& visit, SameAs<ReturnJobs> auto& x) { visit(x.entries, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<RefuseJobs::Entry> auto& x) { visit(x.job, x.reason); }
template <typename V> void visitFields(V& visit, SameAs<RefuseJobs> auto& x) { visit(x.entries, x.atMs); }
template <typename V> void visitFields(V& visit, SameAs<ForgetCellJobs> auto& x) { visit(x.jobs, x.cellRevision); }
template <typename V> void visitFields(V& visit, SameAs<RecordCutOff::Entry> auto& x) { visit(x.job, x.cutOff); }
template <typename V> void visitFields(V& visit, SameAs<RecordCutOff> auto& x) { visit(x.entries, x.tableVersion); }

// Results.
template <typename V> void visitFields(V&, SameAs<CommandDone> auto&) { }
template <typename V> void visitFields(V&, SameAs<RequestStarted> auto&) { }
template <typename V> void visitFields(V& visit, SameAs<JobAccepted> auto& x) { visit(x.job); }
template <typename V> void visitFields(V& visit, SameAs<RequestKnown> auto& x) { visit(x.isRunning, x.outcome); }
template <typename V> void visitFields(V& visit, SameAs<BatchDone> auto& x) { visit(x.epochs); }

} // namespace hickoryknot
