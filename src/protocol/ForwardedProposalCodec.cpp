#include "protocol/ForwardedProposalCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/Base64.h"
#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

std::string encodeForwardedProposal(const ForwardedProposal& message)
{
    return writeDocument(
        { { "payload", encodeBase64(message.payload) }, { "deadlineMs", toMilliseconds(message.deadline) } });
}

Expected<ForwardedProposal> decodeForwardedProposal(std::string_view text)
{
    return decodeMessage<ForwardedProposal>(text, maxInternalMessageBytes, [](ObjectReader& reader) {
        return ForwardedProposal { .payload = reader.base64("payload", maxProposalBytes),
            .deadline = reader.milliseconds("deadlineMs", maxRequestDeadline) };
    });
}

} // namespace hickoryknot
