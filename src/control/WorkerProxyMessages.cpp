#include "control/WorkerProxyMessages.h"

#include "control/OptionalField.h"
#include "state/StateFields.h"
#include "workflow/WorkflowFields.h"

namespace hickoryknot {

using namespace workflow;

namespace workflow {

constexpr WorkerRequestStatus lastValueOf(WorkerRequestStatus) { return WorkerRequestStatus::NotSent; }

// The fence is sent once for the whole batch, the command of a start as an index into the batch's commands.
template <typename V> void visitFields(V& visit, SameAs<StopRunRequest> auto& x) { visit(x.incarnation, x.run); }
template <typename V> void visitFields(V& visit, SameAs<StartRunRequest> auto& x)
{
    visit(x.incarnation, x.run, x.checkpoint, x.permissionToken, x.leaseUntil);
}
template <typename V> void visitFields(V& visit, SameAs<ReportedRun> auto& x)
{
    visit(x.run, x.checkpoint, x.percent, x.load);
}
template <typename V> void visitFields(V& visit, SameAs<ReportedEnd> auto& x)
{
    visit(x.number, x.run, x.outcome, x.checkpoint);
}

void visitFields(FieldWriter& visit, const PollRequest& x)
{
    visit(x.incarnation, x.lastRecordedEnd, x.maxWait);
    writeOptional(visit, x.leaseUntil);
}
void visitFields(FieldReader& visit, PollRequest& x)
{
    visit(x.incarnation, x.lastRecordedEnd, x.maxWait);
    readOptional(visit, x.leaseUntil);
}
void visitFields(FieldWriter& visit, const RunResponse& x)
{
    visit(x.status);
    writeOptional(visit, x.clock);
    writeOptional(visit, x.startTimeMs);
}
void visitFields(FieldReader& visit, RunResponse& x)
{
    visit(x.status);
    readOptional(visit, x.clock);
    readOptional(visit, x.startTimeMs);
}
void visitFields(FieldWriter& visit, const PollResponse& x)
{
    visit(x.clock, x.running, x.ended, x.hasMoreEnds);
    writeOptional(visit, x.startTimeMs);
}
void visitFields(FieldReader& visit, PollResponse& x)
{
    visit(x.clock, x.running, x.ended, x.hasMoreEnds);
    readOptional(visit, x.startTimeMs);
}

} // namespace workflow

template <typename V> void visitFields(V& visit, SameAs<WorkerRequestBatch::Start> auto& x)
{
    visit(x.requestId, x.request, x.commandIndex);
}
template <typename V> void visitFields(V& visit, SameAs<WorkerRequestBatch::Stop> auto& x)
{
    visit(x.requestId, x.request);
}
template <typename V> void visitFields(V& visit, SameAs<WorkerRequestBatch::Poll> auto& x)
{
    visit(x.requestId, x.request);
}
template <typename V> void visitFields(V& visit, SameAs<WorkerRequestBatch> auto& x)
{
    visit(x.leader, x.fence, x.commands, x.starts, x.stops, x.polls);
}
template <typename V> void visitFields(V& visit, SameAs<WorkerResponseBatch::RunResult> auto& x)
{
    visit(x.requestId, x.response);
}
template <typename V> void visitFields(V& visit, SameAs<WorkerResponseBatch::PollResult> auto& x)
{
    visit(x.requestId, x.response);
}
template <typename V> void visitFields(V& visit, SameAs<WorkerResponseBatch::PollFailure> auto& x)
{
    visit(x.requestId, x.error);
}
template <typename V> void visitFields(V& visit, SameAs<WorkerResponseBatch> auto& x)
{
    visit(x.proxy, x.fence, x.runResults, x.pollResults, x.pollFailures);
}

std::string encodeWorkerRequests(const WorkerRequestBatch& message)
{
    FieldWriter writer;
    writer(message);
    return writer.finish();
}

Expected<WorkerRequestBatch> decodeWorkerRequests(std::string_view bytes)
{
    FieldReader reader(bytes);
    WorkerRequestBatch message;
    reader(message);
    for (const auto& start : message.starts) {
        if (start.commandIndex >= message.commands.size())
            reader.fail();
    }
    if (auto finished = reader.finish(); !finished)
        return tl::unexpected(finished.error());
    for (auto& [requestId, request, commandIndex] : message.starts) {
        request.fence = message.fence;
        request.command = message.commands[commandIndex];
    }
    for (auto& [requestId, request] : message.stops)
        request.fence = message.fence;
    for (auto& [requestId, request] : message.polls)
        request.fence = message.fence;
    return message;
}

std::string encodeWorkerResponses(const WorkerResponseBatch& message)
{
    FieldWriter writer;
    writer(message);
    return writer.finish();
}

Expected<WorkerResponseBatch> decodeWorkerResponses(std::string_view bytes)
{
    FieldReader reader(bytes);
    WorkerResponseBatch message;
    reader(message);
    if (auto finished = reader.finish(); !finished)
        return tl::unexpected(finished.error());
    return message;
}

} // namespace hickoryknot
