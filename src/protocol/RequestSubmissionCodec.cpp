#include "protocol/RequestSubmissionCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

std::string encodeRequestSubmission(const RequestSubmission& message)
{
    json document { { "requestId", message.request.value() }, { "row", message.row.value() },
        { "attempt", message.attempt }, { "deadlineMs", toMilliseconds(message.deadline) } };
    if (!message.team.isEmpty())
        document["team"] = message.team.value();
    if (message.repeatable)
        document["repeatable"] = *message.repeatable;
    if (message.homeZone)
        document["homeZone"] = message.homeZone->value();
    putBytes(document, "body", message.body);
    return writeDocument(document);
}

Expected<RequestSubmission> decodeRequestSubmission(std::string_view text)
{
    return decodeMessage<RequestSubmission>(text, maxMessageBytes, [](ObjectReader& reader) {
        RequestSubmission message { .request = reader.id<RequestId>("requestId"),
            .row = reader.id<RowName>("row"),
            .team = reader.optionalId<TeamId>("team").value_or(TeamId()),
            .repeatable = reader.optionalBoolean("repeatable"),
            .homeZone = reader.optionalId<ZoneId>("homeZone"),
            .attempt = static_cast<uint32_t>(reader.unsignedIntegerOr("attempt", 1, maxAttempts, 1)),
            .deadline = reader.milliseconds("deadlineMs", maxRequestDeadline),
            .body = reader.bytes("body", maxRequestBodyBytes) };
        return message;
    });
}

} // namespace hickoryknot
