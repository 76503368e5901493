#include "routing/ZoneExchangeCodec.h"

#include <nlohmann/json.hpp>

#include "protocol/DecodeMessage.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"
#include "protocol/ServerHeartbeatFields.h"
#include "routing/ZoneExchange.h"

namespace hickoryknot {

using nlohmann::json;
using namespace protocol_limits;

namespace {

/// Maximum age of a relayed heartbeat. Older heartbeats have no effect on any host.
constexpr Duration maxHeartbeatAge = 60s;

json heartbeatsToJson(const std::vector<RelayedHeartbeat>& heartbeats)
{
    json list = json::array();
    for (const auto& relayed : heartbeats)
        list.push_back(
            { { "heartbeat", serverHeartbeatToJson(relayed.heartbeat) }, { "ageMs", toMilliseconds(relayed.age) } });
    return list;
}

std::vector<RelayedHeartbeat> readHeartbeats(ObjectReader& reader)
{
    std::vector<RelayedHeartbeat> heartbeats;
    reader.eachObject("heartbeats", [&](ObjectReader& item) {
        RelayedHeartbeat relayed;
        item.optionalObject(
            "heartbeat", [&](ObjectReader& heartbeat) { relayed.heartbeat = readServerHeartbeat(heartbeat); });
        // Ages are sent in whole milliseconds; rounding up never makes a server look fresher than it is.
        relayed.age = item.milliseconds("ageMs", maxHeartbeatAge) + 1ms;
        heartbeats.push_back(std::move(relayed));
    });
    return heartbeats;
}

json allocationsToJson(const std::vector<ServerAllocation>& allocations)
{
    json list = json::array();
    for (const auto& allocation : allocations) {
        list.push_back({ { "serverId", allocation.server.value() }, { "incarnation", allocation.incarnation },
            { "slots", allocation.capacity.slots }, { "connections", allocation.capacity.connections } });
    }
    return list;
}

std::vector<ServerAllocation> readAllocations(ObjectReader& reader, const char* name)
{
    std::vector<ServerAllocation> allocations;
    reader.eachObject(name, [&](ObjectReader& item) {
        allocations.push_back({ .server = item.id<ServerId>("serverId"),
            .incarnation = item.unsignedInteger("incarnation", 0, maxCounter),
            .capacity = { .slots = static_cast<uint32_t>(item.unsignedInteger("slots", 0, maxServerSlots)),
                .connections = static_cast<uint32_t>(item.unsignedInteger("connections", 0, maxServerSlots)) } });
    });
    return allocations;
}

json slotRequestToJson(const SlotRequest& request)
{
    return { { "host", request.host.value() }, { "incarnation", request.incarnation }, { "number", request.number },
        { "demand", request.demand }, { "adoptedTerm", request.adoptedTerm },
        { "adoptedNumber", request.adoptedNumber }, { "inUse", allocationsToJson(request.inUse) } };
}

SlotRequest readSlotRequest(ObjectReader& reader)
{
    return { .host = reader.id<HostId>("host"),
        .incarnation = reader.unsignedInteger("incarnation", 0, maxCounter),
        .number = reader.unsignedInteger("number", 0, maxCounter),
        .demand = static_cast<uint32_t>(reader.unsignedInteger("demand", 0, UINT32_MAX)),
        .adoptedTerm = reader.unsignedInteger("adoptedTerm", 0, maxCounter),
        .adoptedNumber = reader.unsignedInteger("adoptedNumber", 0, maxCounter),
        .inUse = readAllocations(reader, "inUse") };
}

json grantToJson(const SlotGrant& grant)
{
    return { { "host", grant.host.value() }, { "incarnation", grant.incarnation }, { "askNumber", grant.requestNumber },
        { "term", grant.term }, { "number", grant.number }, { "leaseMs", toMilliseconds(grant.lease) },
        { "servers", allocationsToJson(grant.servers) } };
}

SlotGrant readGrant(ObjectReader& reader)
{
    return { .host = reader.id<HostId>("host"),
        .incarnation = reader.unsignedInteger("incarnation", 0, maxCounter),
        .requestNumber = reader.unsignedInteger("askNumber", 0, maxCounter),
        .term = reader.unsignedInteger("term", 0, maxCounter),
        .number = reader.unsignedInteger("number", 0, maxCounter),
        .lease = reader.milliseconds("leaseMs", maxLease),
        .servers = readAllocations(reader, "servers") };
}

} // namespace

std::string encodeZoneExchangeRequest(const ZoneExchangeRequest& message)
{
    json digest = json::array();
    for (const auto& entry : message.digest)
        digest.push_back({ { "serverId", entry.server.value() }, { "incarnation", entry.incarnation },
            { "sequence", entry.sequence } });
    json document { { "host", message.host.value() }, { "zone", message.zone.value() }, { "digest", std::move(digest) },
        { "heartbeats", heartbeatsToJson(message.heartbeats) }, { "freeSlots", message.freeSlots } };
    if (message.slotRequest)
        document["ask"] = slotRequestToJson(*message.slotRequest);
    return writeDocument(document);
}

Expected<ZoneExchangeRequest> decodeZoneExchangeRequest(std::string_view text)
{
    return decodeMessage<ZoneExchangeRequest>(text, maxInternalMessageBytes, [](ObjectReader& reader) {
        ZoneExchangeRequest message;
        message.host = reader.id<HostId>("host");
        message.zone = reader.id<ZoneId>("zone");
        reader.eachObject("digest", [&](ObjectReader& item) {
            message.digest.push_back({ .server = item.id<ServerId>("serverId"),
                .incarnation = item.unsignedInteger("incarnation", 0, maxCounter),
                .sequence = item.unsignedInteger("sequence", 0, maxCounter) });
        });
        message.heartbeats = readHeartbeats(reader);
        message.freeSlots = static_cast<uint32_t>(reader.unsignedInteger("freeSlots", 0, UINT32_MAX));
        reader.optionalObject("ask", [&](ObjectReader& item) { message.slotRequest = readSlotRequest(item); });
        return message;
    });
}

std::string encodeZoneExchangeResponse(const ZoneExchangeResponse& reply)
{
    json document { { "heartbeats", heartbeatsToJson(reply.heartbeats) } };
    if (reply.slotGrant)
        document["grant"] = grantToJson(*reply.slotGrant);
    return writeDocument(document);
}

Expected<ZoneExchangeResponse> decodeZoneExchangeResponse(std::string_view text)
{
    return decodeMessage<ZoneExchangeResponse>(text, maxInternalMessageBytes, [](ObjectReader& reader) {
        ZoneExchangeResponse reply;
        reply.heartbeats = readHeartbeats(reader);
        reader.optionalObject("grant", [&](ObjectReader& grant) { reply.slotGrant = readGrant(grant); });
        return reply;
    });
}

} // namespace hickoryknot
