#include "protocol/OutcomeCodec.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"
#include "protocol/OutcomeFields.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

namespace {

constexpr std::array<OutcomeKind, 6> kinds { OutcomeKind::Done, OutcomeKind::Accepted, OutcomeKind::NotRun,
    OutcomeKind::Refused, OutcomeKind::Cancelled, OutcomeKind::Unknown };

} // namespace

json outcomeToJson(const Outcome& outcome)
{
    json object { { "outcome", outcomeKindName(outcome.kind) }, { "reason", outcome.reason },
        { "sentence", outcome.message } };
    putBytes(object, "answer", outcome.response);
    return object;
}

Outcome readOutcome(ObjectReader& reader)
{
    std::array<const char*, kinds.size()> names {};
    std::transform(kinds.begin(), kinds.end(), names.begin(), outcomeKindName);
    return { .kind = kinds.at(reader.enumIndex("outcome", names)),
        .reason = reader.string("reason", 0, maxTextBytes),
        .message = reader.string("sentence", 0, maxTextBytes),
        .response = reader.bytes("answer", maxResponseBytes) };
}

std::string encodeOutcome(const Outcome& message) { return writeDocument(outcomeToJson(message)); }

Expected<Outcome> decodeOutcome(std::string_view text)
{
    return decodeMessage<Outcome>(
        text, maxInternalMessageBytes, [](ObjectReader& reader) { return readOutcome(reader); });
}

} // namespace hickoryknot
