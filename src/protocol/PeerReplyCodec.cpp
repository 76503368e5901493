#include "protocol/PeerReplyCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

namespace {

std::vector<SlotGrant> readGrants(ObjectReader& reader)
{
    std::vector<SlotGrant> grants;
    reader.eachObject("slotGrants", [&](ObjectReader& grant) {
        grants.push_back({ .server = grant.id<ServerId>("serverId"),
            .slots = static_cast<uint32_t>(grant.whole("slots", 0, maxServerSlots)),
            .connections = static_cast<uint32_t>(grant.whole("connections", 0, maxServerSlots)),
            .lease = grant.milliseconds("leaseMs", maxLease) });
    });
    return grants;
}

} // namespace

std::string encodePeerReply(const PeerReply& message)
{
    json grants = json::array();
    for (const auto& grant : message.slotGrants) {
        grants.push_back({ { "serverId", grant.server.value() }, { "slots", grant.slots },
            { "connections", grant.connections }, { "leaseMs", toMilliseconds(grant.lease) } });
    }
    json document { { "host", message.host.value() }, { "leadsCell", message.leadsCell },
        { "cellTerm", message.cellTerm }, { "cellTableVersion", message.cellTableVersion },
        { "zoneLeaseMs", toMilliseconds(message.zoneLease) }, { "slotGrants", std::move(grants) } };
    if (message.cellLeader)
        document["cellLeader"] = message.cellLeader->value();
    return writeDocument(document);
}

Expected<PeerReply> decodePeerReply(std::string_view text)
{
    return decodeMessage<PeerReply>(text, maxInternalMessageBytes, [](ObjectReader& reader) {
        return PeerReply { .host = reader.id<HostId>("host"),
            .leadsCell = reader.flag("leadsCell"),
            .cellTerm = reader.whole("cellTerm", 0, maxCounter),
            .cellLeader = reader.optionalId<HostId>("cellLeader"),
            .cellTableVersion = reader.whole("cellTableVersion", 0, maxCounter),
            .zoneLease = reader.milliseconds("zoneLeaseMs", maxLease),
            .slotGrants = readGrants(reader) };
    });
}

} // namespace hickoryknot
