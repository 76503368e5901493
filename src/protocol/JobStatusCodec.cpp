#include "protocol/JobStatusCodec.h"

#include <array>
#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JobKindNames.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"
#include "protocol/OutcomeFields.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

namespace {

/// Wire form of JobPhase, in the order of its values.
constexpr std::array<const char*, 3> phaseNames { "queued", "running", "ended" };

} // namespace

std::string encodeJobStatus(const JobStatus& message)
{
    json document { { "jobId", message.job.value() }, { "row", message.row.value() }, { "team", message.team.value() },
        { "kind", jobKindName(message.kind) }, { "phase", phaseNames.at(static_cast<size_t>(message.phase)) },
        { "epoch", message.epoch }, { "tasks", message.tasks }, { "queuedTasks", message.queuedTasks },
        { "runningTasks", message.runningTasks }, { "succeededTasks", message.succeededTasks },
        { "failedTasks", message.failedTasks } };
    if (message.zone)
        document["zone"] = message.zone->value();
    if (message.outcome)
        document["result"] = outcomeToJson(*message.outcome);
    return writeDocument(document);
}

Expected<JobStatus> decodeJobStatus(std::string_view text)
{
    return decodeMessage<JobStatus>(text, maxInternalMessageBytes, [](ObjectReader& reader) {
        const auto count
            = [&](const char* name) { return static_cast<uint32_t>(reader.unsignedInteger(name, 0, UINT32_MAX)); };
        JobStatus message { .job = reader.id<JobId>("jobId"),
            .row = reader.id<RowName>("row"),
            .team = reader.id<TeamId>("team"),
            .kind = static_cast<JobKind>(reader.enumIndex("kind", jobKindNames)),
            .phase = static_cast<JobPhase>(reader.enumIndex("phase", phaseNames)),
            .zone = reader.optionalId<ZoneId>("zone"),
            .epoch = reader.unsignedInteger("epoch", 0, maxCounter),
            .tasks = count("tasks"),
            .queuedTasks = count("queuedTasks"),
            .runningTasks = count("runningTasks"),
            .succeededTasks = count("succeededTasks"),
            .failedTasks = count("failedTasks"),
            .outcome = {} };
        Outcome outcome;
        if (reader.optionalObject("result", [&](ObjectReader& object) { outcome = readOutcome(object); }))
            message.outcome = std::move(outcome);
        return message;
    });
}

} // namespace hickoryknot
