#include "control/CourierMessage.h"

#include "control/OptionalField.h"
#include "state/StateFields.h"
#include "workflow/WorkflowFields.h"

namespace hickoryknot {

using namespace workflow;

namespace workflow {

constexpr WorkerRequestStatus lastValueOf(WorkerRequestStatus) { return WorkerRequestStatus::NotSent; }

// The fence of an order is that of the message.
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
    visit(x.clock, x.running, x.ended);
    writeOptional(visit, x.startTimeMs);
}
void visitFields(FieldReader& visit, PollResponse& x)
{
    visit(x.clock, x.running, x.ended);
    readOptional(visit, x.startTimeMs);
}

} // namespace workflow

template <typename V> void visitFields(V& visit, SameAs<CourierOrders::Start> auto& x)
{
    visit(x.number, x.order, x.command);
}
template <typename V> void visitFields(V& visit, SameAs<CourierOrders::Stop> auto& x) { visit(x.number, x.order); }
template <typename V> void visitFields(V& visit, SameAs<CourierOrders::Look> auto& x) { visit(x.number, x.order); }
template <typename V> void visitFields(V& visit, SameAs<CourierOrders> auto& x)
{
    visit(x.leader, x.fence, x.commands, x.starts, x.stops, x.looks);
}
template <typename V> void visitFields(V& visit, SameAs<CourierAnswers::Order> auto& x) { visit(x.number, x.answer); }
template <typename V> void visitFields(V& visit, SameAs<CourierAnswers::Look> auto& x) { visit(x.number, x.answer); }
template <typename V> void visitFields(V& visit, SameAs<CourierAnswers::FailedLook> auto& x)
{
    visit(x.number, x.error);
}
template <typename V> void visitFields(V& visit, SameAs<CourierAnswers> auto& x)
{
    visit(x.courier, x.fence, x.orders, x.looks, x.failedLooks);
}

std::string encodeCourierOrders(const CourierOrders& message)
{
    FieldWriter writer;
    writer(message);
    return writer.finish();
}

Expected<CourierOrders> decodeCourierOrders(std::string_view bytes)
{
    FieldReader reader(bytes);
    CourierOrders message;
    reader(message);
    for (const auto& start : message.starts) {
        if (start.command >= message.commands.size())
            reader.fail();
    }
    if (auto finished = reader.finish(); !finished)
        return tl::unexpected(finished.error());
    for (auto& [number, order, command] : message.starts) {
        order.fence = message.fence;
        order.command = message.commands[command];
    }
    for (auto& [number, order] : message.stops)
        order.fence = message.fence;
    for (auto& [number, order] : message.looks)
        order.fence = message.fence;
    return message;
}

std::string encodeCourierAnswers(const CourierAnswers& message)
{
    FieldWriter writer;
    writer(message);
    return writer.finish();
}

Expected<CourierAnswers> decodeCourierAnswers(std::string_view bytes)
{
    FieldReader reader(bytes);
    CourierAnswers message;
    reader(message);
    if (auto finished = reader.finish(); !finished)
        return tl::unexpected(finished.error());
    return message;
}

} // namespace hickoryknot
