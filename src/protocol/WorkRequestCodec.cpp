#include "protocol/WorkRequestCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

std::string encodeWorkRequest(const WorkRequest& message)
{
    json document { { "requestId", message.request.value() } };
    putBytes(document, "body", message.body);
    return writeDocument(document);
}

Expected<WorkRequest> decodeWorkRequest(std::string_view text)
{
    return decodeMessage<WorkRequest>(text, maxMessageBytes, [](ObjectReader& reader) {
        return WorkRequest { .request = reader.id<RequestId>("requestId"),
            .body = reader.bytes("body", maxRequestBodyBytes) };
    });
}

} // namespace hickoryknot
