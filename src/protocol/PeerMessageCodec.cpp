#include "protocol/PeerMessageCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

std::string encodePeerMessage(const PeerMessage& message)
{
    return writeDocument({ { "host", message.host.value() }, { "storeId", message.storeId },
        { "incarnation", message.incarnation }, { "zone", message.zone.value() }, { "sequence", message.sequence },
        { "appliedTableVersion", message.appliedTableVersion }, { "leadsZone", message.leadsZone },
        { "zoneTerm", message.zoneTerm }, { "zoneCutOffVersion", message.zoneCutOffVersion },
        { "zoneEpoch", message.zoneEpoch }, { "draining", message.isDraining }, { "address", message.address },
        { "port", message.port }, { "freeMillicores", message.free.millicores.count() },
        { "freeMebibytes", message.free.mebibytes.count() },
        { "freeAccelerators", message.free.accelerators.count() } });
}

Expected<PeerMessage> decodePeerMessage(std::string_view text)
{
    return decodeMessage<PeerMessage>(text, maxInternalMessageBytes, [](ObjectReader& reader) {
        return PeerMessage { .host = reader.id<HostId>("host"),
            .storeId = reader.unsignedInteger("storeId", 0, UINT64_MAX),
            .incarnation = reader.unsignedInteger("incarnation", 0, maxCounter),
            .zone = reader.id<ZoneId>("zone"),
            .sequence = reader.unsignedInteger("sequence", 0, maxCounter),
            .appliedTableVersion = reader.unsignedInteger("appliedTableVersion", 0, maxCounter),
            .leadsZone = reader.boolean("leadsZone"),
            .zoneTerm = reader.unsignedInteger("zoneTerm", 0, maxCounter),
            .zoneCutOffVersion = reader.unsignedInteger("zoneCutOffVersion", 0, maxCounter),
            .zoneEpoch = reader.unsignedInteger("zoneEpoch", 0, maxCounter),
            .isDraining = reader.boolean("draining"),
            .address = reader.numericAddress("address"),
            .port = static_cast<uint16_t>(reader.unsignedInteger("port", 1, UINT16_MAX)),
            .free = reader.resources("freeMillicores", "freeMebibytes", "freeAccelerators", maxWorkersPerSum) };
    });
}

} // namespace hickoryknot
