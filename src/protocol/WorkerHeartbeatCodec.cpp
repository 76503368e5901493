#include "protocol/WorkerHeartbeatCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

namespace {

std::vector<RunningTask> readRunningTasks(ObjectReader& reader)
{
    std::vector<RunningTask> tasks;
    reader.eachObject("running", [&](ObjectReader& task) {
        RunningTask running {
            .task = task.id<TaskId>("taskId"), .epoch = task.unsignedInteger("epoch", 0, maxCounter), .used = {}
        };
        // A task may use more than it requested, but not more than the largest worker has.
        running.used.millicores = Millicores(task.signedInteger("usedMillicores", 0, maxMillicores));
        running.used.mebibytes = Mebibytes(task.signedInteger("usedMebibytes", 0, maxMebibytes));
        tasks.push_back(std::move(running));
    });
    return tasks;
}

std::vector<EndedTask> readEndedTasks(ObjectReader& reader)
{
    std::vector<EndedTask> tasks;
    reader.eachObject("ended", [&](ObjectReader& task) {
        tasks.push_back({ .task = task.id<TaskId>("taskId"),
            .epoch = task.unsignedInteger("epoch", 0, maxCounter),
            .exitCode = static_cast<int>(task.signedInteger("exitCode", INT32_MIN, INT32_MAX)),
            .runTime = task.milliseconds("runMs", maxRunTime) });
    });
    return tasks;
}

} // namespace

std::string encodeWorkerHeartbeat(const WorkerHeartbeat& message)
{
    json running = json::array();
    for (const auto& task : message.running) {
        running.push_back({ { "taskId", task.task.value() }, { "epoch", task.epoch },
            { "usedMillicores", task.used.millicores.count() }, { "usedMebibytes", task.used.mebibytes.count() } });
    }
    json ended = json::array();
    for (const auto& task : message.ended) {
        ended.push_back({ { "taskId", task.task.value() }, { "epoch", task.epoch }, { "exitCode", task.exitCode },
            { "runMs", toMilliseconds(task.runTime) } });
    }
    return writeDocument({ { "workerId", message.worker.value() }, { "incarnation", message.incarnation },
        { "zone", message.zone.value() }, { "rack", message.rack.value() },
        { "millicores", message.capacity.millicores.count() }, { "mebibytes", message.capacity.mebibytes.count() },
        { "accelerators", message.capacity.accelerators.count() }, { "term", message.term },
        { "running", std::move(running) }, { "ended", std::move(ended) }, { "leaving", message.isLeaving },
        { "waitMs", toMilliseconds(message.wait) }, { "lastSequence", message.lastSequence } });
}

Expected<WorkerHeartbeat> decodeWorkerHeartbeat(std::string_view text)
{
    return decodeMessage<WorkerHeartbeat>(text, maxMessageBytes, [](ObjectReader& reader) {
        return WorkerHeartbeat { .worker = reader.id<WorkerId>("workerId"),
            .incarnation = reader.unsignedInteger("incarnation", 0, maxCounter),
            .zone = reader.id<ZoneId>("zone"),
            .rack = reader.id<RackId>("rack"),
            .capacity = reader.resources("millicores", "mebibytes", "accelerators"),
            .term = reader.unsignedInteger("term", 0, maxCounter),
            .lastSequence = reader.unsignedIntegerOr("lastSequence", 0, maxCounter, 0),
            .running = readRunningTasks(reader),
            .ended = readEndedTasks(reader),
            .isLeaving = reader.boolean("leaving"),
            .wait = reader.milliseconds("waitMs", maxHeartbeatWait) };
    });
}

} // namespace hickoryknot
