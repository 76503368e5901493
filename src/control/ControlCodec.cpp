#include <array>

#include "control/ControlCall.h"
#include "control/ControlReply.h"
#include "control/OptionalField.h"
#include "control/PermissionCall.h"
#include "state/VariantCodec.h"
#include "workflow/WorkflowFields.h"

namespace hickoryknot {

constexpr ControlStatus lastValueOf(ControlStatus) { return ControlStatus::IdTaken; }

template <typename V> void visitFields(V& visit, SameAs<CallerAddress> auto& x)
{
    visit(x.requestedHost, x.path, x.key);
}
template <typename V> void visitFields(V& visit, SameAs<SubmitCall> auto& x) { visit(x.address, x.spec); }
template <typename V> void visitFields(V& visit, SameAs<StatusCall> auto& x) { visit(x.address, x.minTableVersion); }
template <typename V> void visitFields(V& visit, SameAs<CancelCall> auto& x) { visit(x.address); }
template <typename V> void visitFields(V& visit, SameAs<ReplaceTableCall> auto& x) { visit(x.table); }
template <typename V> void visitFields(V&, SameAs<ReadTableCall> auto&) { }
template <typename V> void visitFields(V& visit, SameAs<WorkerLeaveCall> auto& x) { visit(x.worker); }
template <typename V> void visitFields(V& visit, SameAs<HostHeartbeatCall> auto& x)
{
    visit(
        x.host, x.zone, x.isReplica, x.storeId, x.incarnation, x.canRequestPermissions, x.isWorkerProxy, x.isDraining);
}
template <typename V> void visitFields(V& visit, SameAs<ExplainCall> auto& x) { visit(x.workflow); }
template <typename V> void visitFields(V& visit, SameAs<ControlReply> auto& x)
{
    visit(x.status, x.message, x.retryAfter, x.phase, x.hasStarted, x.isQueue, x.pending, x.tableVersion, x.text,
        x.leader, x.replicas);
}
template <typename V> void visitFields(V& visit, SameAs<PermissionCall> auto& x)
{
    visit(x.step, x.workers, x.timeout);
}

void visitFields(FieldWriter& visit, const WorkerReportCall& x)
{
    visit(x.report.profile, x.report.sequence);
    writeOptional(visit, x.report.clock);
}

void visitFields(FieldReader& visit, WorkerReportCall& x)
{
    visit(x.report.profile, x.report.sequence);
    readOptional(visit, x.report.clock);
}

namespace {

template <typename Message> std::string encodeMessage(const Message& message)
{
    FieldWriter writer;
    writer(message);
    return writer.finish();
}

template <typename Message> Expected<Message> decodeMessage(std::string_view bytes)
{
    FieldReader reader(bytes);
    Message message;
    reader(message);
    if (auto finished = reader.finish(); !finished)
        return tl::unexpected(finished.error());
    return message;
}

} // namespace

const char* controlStatusName(ControlStatus status)
{
    constexpr std::array names { "done", "noSuchQueue", "noSuchWorkflow", "refused", "invalid", "notReady", "notLeader",
        "uncertain", "unauthorised", "idTaken" };
    return names[static_cast<size_t>(status)];
}

std::string encodeControlCall(const ControlCall& call) { return encodeVariant(call); }

Expected<ControlCall> decodeControlCall(std::string_view bytes) { return decodeVariant<ControlCall>(bytes); }

std::string encodeControlReply(const ControlReply& reply) { return encodeMessage(reply); }

Expected<ControlReply> decodeControlReply(std::string_view bytes) { return decodeMessage<ControlReply>(bytes); }

std::string encodePermissionCall(const PermissionCall& call) { return encodeMessage(call); }

Expected<PermissionCall> decodePermissionCall(std::string_view bytes) { return decodeMessage<PermissionCall>(bytes); }

std::string encodePermissionResponse(const workflow::PermissionResponse& response)
{
    FieldWriter writer;
    std::vector<WorkerId> workers;
    std::vector<std::string> tokens;
    for (const auto& permission : response.granted) {
        workers.push_back(permission.worker);
        tokens.push_back(permission.token);
    }
    writer(workers, tokens);
    writeOptional(writer, response.validity);
    return writer.finish();
}

Expected<workflow::PermissionResponse> decodePermissionResponse(std::string_view bytes)
{
    FieldReader reader(bytes);
    std::vector<WorkerId> workers;
    std::vector<std::string> tokens;
    workflow::PermissionResponse response;
    reader(workers, tokens);
    readOptional(reader, response.validity);
    if (workers.size() != tokens.size())
        reader.fail();
    if (auto finished = reader.finish(); !finished)
        return tl::unexpected(finished.error());
    for (size_t i = 0; i < workers.size(); ++i)
        response.granted.push_back({ .worker = workers[i], .token = tokens[i] });
    return response;
}

} // namespace hickoryknot
