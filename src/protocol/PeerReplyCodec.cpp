#include "protocol/PeerReplyCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

std::string encodePeerReply(const PeerReply& message)
{
    json document { { "host", message.host.value() }, { "leadsCell", message.leadsCell },
        { "cellTerm", message.cellTerm }, { "cellTableVersion", message.cellTableVersion },
        { "zoneLeaseMs", toMilliseconds(message.zoneLease) }, { "tableLeaseMs", toMilliseconds(message.tableLease) } };
    if (message.cellLeader)
        document["cellLeader"] = message.cellLeader->value();
    return writeDocument(document);
}

Expected<PeerReply> decodePeerReply(std::string_view text)
{
    return decodeMessage<PeerReply>(text, maxInternalMessageBytes, [](ObjectReader& reader) {
        return PeerReply { .host = reader.id<HostId>("host"),
            .leadsCell = reader.boolean("leadsCell"),
            .cellTerm = reader.unsignedInteger("cellTerm", 0, maxCounter),
            .cellLeader = reader.optionalId<HostId>("cellLeader"),
            .cellTableVersion = reader.unsignedInteger("cellTableVersion", 0, maxCounter),
            .zoneLease = reader.milliseconds("zoneLeaseMs", maxLease),
            .tableLease = reader.milliseconds("tableLeaseMs", maxLease) };
    });
}

} // namespace hickoryknot
