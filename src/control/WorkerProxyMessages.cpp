#include "control/WorkerProxyMessages.h"

#include "control/OptionalField.h"
#include "state/StateFields.h"
#include "workflow/WorkflowFields.h"

namespace hickoryknot {

using namespace workflow;

namespace workflow {

constexpr OrderVerdict lastValueOf(OrderVerdict) { return OrderVerdict::NotSent; }

// The fence is sent once for the whole batch, the command of a start as an index into the batch's commands.
template <typename V> void visitFields(V& visit, SameAs<StopOrder> auto& x) { visit(x.life, x.run); }
template <typename V> void visitFields(V& visit, SameAs<StartOrder> auto& x)
{
    visit(x.life, x.run, x.checkpoint, x.permit, x.leaseUntil);
}
template <typename V> void visitFields(V& visit, SameAs<ListedRun> auto& x)
{
    visit(x.run, x.checkpoint, x.percent, x.load);
}
template <typename V> void visitFields(V& visit, SameAs<ListedEnd> auto& x)
{
    visit(x.number, x.run, x.end, x.checkpoint);
}

void visitFields(FieldWriter& visit, const LookOrder& x)
{
    visit(x.life, x.recordedEnds, x.wait);
    writeOptional(visit, x.leaseUntil);
}
void visitFields(FieldReader& visit, LookOrder& x)
{
    visit(x.life, x.recordedEnds, x.wait);
    readOptional(visit, x.leaseUntil);
}
void visitFields(FieldWriter& visit, const OrderAnswer& x)
{
    visit(x.verdict);
    writeOptional(visit, x.clock);
    writeOptional(visit, x.bornMs);
}
void visitFields(FieldReader& visit, OrderAnswer& x)
{
    visit(x.verdict);
    readOptional(visit, x.clock);
    readOptional(visit, x.bornMs);
}
void visitFields(FieldWriter& visit, const LookAnswer& x)
{
    visit(x.clock, x.running, x.ended);
    writeOptional(visit, x.bornMs);
}
void visitFields(FieldReader& visit, LookAnswer& x)
{
    visit(x.clock, x.running, x.ended);
    readOptional(visit, x.bornMs);
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
