#include "protocol/WorkerInstructionsCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

namespace {

std::vector<StartTask> readStartTasks(ObjectReader& reader)
{
    std::vector<StartTask> tasks;
    reader.eachObject("start", [&](ObjectReader& task) {
        tasks.push_back({ .task = task.id<TaskId>("taskId"),
            .epoch = task.unsignedInteger("epoch", 0, maxCounter),
            .job = task.id<JobId>("jobId"),
            .command = task.string("command", 1, maxTextBytes),
            .resources = task.resources("millicores", "mebibytes", "accelerators"),
            .lease = task.milliseconds("leaseMs", maxLease) });
    });
    return tasks;
}

std::vector<StopTask> readStopTasks(ObjectReader& reader)
{
    std::vector<StopTask> tasks;
    reader.eachObject("stop", [&](ObjectReader& task) {
        tasks.push_back({ .task = task.id<TaskId>("taskId"),
            .epoch = task.unsignedInteger("epoch", 0, maxCounter),
            .checkpoint = task.boolean("checkpoint") });
    });
    return tasks;
}

std::vector<RenewLease> readLeaseRenewals(ObjectReader& reader)
{
    std::vector<RenewLease> tasks;
    reader.eachObject("renew", [&](ObjectReader& task) {
        tasks.push_back({ .task = task.id<TaskId>("taskId"),
            .epoch = task.unsignedInteger("epoch", 0, maxCounter),
            .lease = task.milliseconds("leaseMs", maxLease) });
    });
    return tasks;
}

} // namespace

std::string encodeWorkerInstructions(const WorkerInstructions& message)
{
    json start = json::array();
    for (const auto& task : message.start) {
        start.push_back({ { "taskId", task.task.value() }, { "epoch", task.epoch }, { "jobId", task.job.value() },
            { "command", task.command }, { "millicores", task.resources.millicores.count() },
            { "mebibytes", task.resources.mebibytes.count() }, { "accelerators", task.resources.accelerators.count() },
            { "leaseMs", toMilliseconds(task.lease) } });
    }
    json stop = json::array();
    for (const auto& task : message.stop)
        stop.push_back({ { "taskId", task.task.value() }, { "epoch", task.epoch }, { "checkpoint", task.checkpoint } });
    json renew = json::array();
    for (const auto& task : message.renew) {
        renew.push_back(
            { { "taskId", task.task.value() }, { "epoch", task.epoch }, { "leaseMs", toMilliseconds(task.lease) } });
    }
    json acknowledged = json::array();
    for (const auto& task : message.acknowledged)
        acknowledged.push_back(task.value());
    return writeDocument({ { "term", message.term }, { "sequence", message.sequence }, { "start", std::move(start) },
        { "stop", std::move(stop) }, { "renew", std::move(renew) }, { "ack", std::move(acknowledged) } });
}

Expected<WorkerInstructions> decodeWorkerInstructions(std::string_view text)
{
    return decodeMessage<WorkerInstructions>(text, maxInternalMessageBytes, [](ObjectReader& reader) {
        return WorkerInstructions { .term = reader.unsignedInteger("term", 0, maxCounter),
            .sequence = reader.unsignedInteger("sequence", 0, maxCounter),
            .start = readStartTasks(reader),
            .stop = readStopTasks(reader),
            .renew = readLeaseRenewals(reader),
            .acknowledged = reader.ids<TaskId>("ack") };
    });
}

} // namespace hickoryknot
