#include "protocol/ServerHeartbeatCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"
#include "protocol/ServerHeartbeatFields.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

json serverHeartbeatToJson(const ServerHeartbeat& message)
{
    return { { "serverId", message.server.value() }, { "incarnation", message.incarnation },
        { "sequence", message.sequence }, { "zone", message.zone.value() }, { "rack", message.rack.value() },
        { "address", message.address }, { "port", message.port }, { "slots", message.slots },
        { "connectionLimit", message.connectionLimit }, { "inFlight", message.inFlight },
        { "leaving", message.isLeaving } };
}

ServerHeartbeat readServerHeartbeat(ObjectReader& reader)
{
    return { .server = reader.id<ServerId>("serverId"),
        .incarnation = reader.unsignedInteger("incarnation", 0, maxCounter),
        .sequence = reader.unsignedInteger("sequence", 0, maxCounter),
        .zone = reader.id<ZoneId>("zone"),
        .rack = reader.id<RackId>("rack"),
        .address = reader.numericAddress("address"),
        .port = static_cast<uint16_t>(reader.unsignedInteger("port", 1, UINT16_MAX)),
        .slots = static_cast<uint32_t>(reader.unsignedInteger("slots", 1, maxServerSlots)),
        .connectionLimit = static_cast<uint32_t>(reader.unsignedInteger("connectionLimit", 1, maxServerSlots)),
        .inFlight = static_cast<uint32_t>(reader.unsignedInteger("inFlight", 0, maxServerSlots)),
        .isLeaving = reader.boolean("leaving") };
}

std::string encodeServerHeartbeat(const ServerHeartbeat& message)
{
    return writeDocument(serverHeartbeatToJson(message));
}

Expected<ServerHeartbeat> decodeServerHeartbeat(std::string_view text)
{
    return decodeMessage<ServerHeartbeat>(
        text, maxMessageBytes, [](ObjectReader& reader) { return readServerHeartbeat(reader); });
}

} // namespace hickoryknot
