#include "protocol/JobSubmissionCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JobKindNames.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

std::string encodeJobSubmission(const JobSubmission& message)
{
    json document { { "requestId", message.request.value() }, { "row", message.row.value() },
        { "team", message.team.value() }, { "kind", jobKindName(message.kind) }, { "tasks", message.tasks },
        { "millicores", message.perTask.millicores.count() }, { "mebibytes", message.perTask.mebibytes.count() },
        { "accelerators", message.perTask.accelerators.count() },
        { "expectedRunMs", toMilliseconds(message.expectedRun) }, { "command", message.command },
        { "attempt", message.attempt } };
    if (message.repeatable)
        document["repeatable"] = *message.repeatable;
    if (message.homeZone)
        document["homeZone"] = message.homeZone->value();
    return writeDocument(document);
}

Expected<JobSubmission> decodeJobSubmission(std::string_view text)
{
    return decodeMessage<JobSubmission>(text, maxMessageBytes, [](ObjectReader& reader) {
        return JobSubmission { .request = reader.id<RequestId>("requestId"),
            .row = reader.id<RowName>("row"),
            .team = reader.id<TeamId>("team"),
            .kind = static_cast<JobKind>(reader.enumIndex("kind", jobKindNames)),
            .tasks = static_cast<uint32_t>(reader.unsignedInteger("tasks", 1, maxTasksPerJob)),
            .perTask = reader.resources("millicores", "mebibytes", "accelerators"),
            .expectedRun = reader.milliseconds("expectedRunMs", maxRunTime),
            .repeatable = reader.optionalBoolean("repeatable"),
            .command = reader.string("command", 1, maxTextBytes),
            .homeZone = reader.optionalId<ZoneId>("homeZone"),
            .attempt = static_cast<uint32_t>(reader.unsignedIntegerOr("attempt", 1, maxAttempts, 1)) };
    });
}

} // namespace hickoryknot
