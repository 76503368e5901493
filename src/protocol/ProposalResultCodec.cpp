#include "protocol/ProposalResultCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/Base64.h"
#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

std::string encodeProposalResult(const ProposalResult& message)
{
    return writeDocument({ { "index", message.index }, { "result", encodeBase64(message.result) } });
}

Expected<ProposalResult> decodeProposalResult(std::string_view text)
{
    return decodeMessage<ProposalResult>(text, maxInternalMessageBytes, [](ObjectReader& reader) {
        return ProposalResult { .index = reader.unsignedInteger("index", 0, maxCounter),
            .result = reader.base64("result", maxProposalBytes) };
    });
}

} // namespace hickoryknot
