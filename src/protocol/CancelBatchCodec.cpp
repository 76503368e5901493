#include "protocol/CancelBatchCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

std::string encodeCancelBatch(const CancelBatch& message)
{
    json ids = json::array();
    for (const auto& job : message.jobs)
        ids.push_back(job.value());
    return writeDocument({ { "requestId", message.request.value() }, { "ids", std::move(ids) } });
}

Expected<CancelBatch> decodeCancelBatch(std::string_view text)
{
    return decodeMessage<CancelBatch>(text, maxMessageBytes, [](ObjectReader& reader) {
        return CancelBatch { .request = reader.id<RequestId>("requestId"), .jobs = reader.ids<JobId>("ids", 1) };
    });
}

} // namespace hickoryknot
