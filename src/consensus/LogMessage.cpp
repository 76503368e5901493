#include "consensus/LogMessage.h"

#include <array>
#include <nlohmann/json.hpp>

#include "core/CborArrays.h"

namespace hickoryknot {

namespace {

using nlohmann::json;

json binary(const std::string& bytes) { return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end())); }

std::string bytesOf(const json& value)
{
    const auto& bytes = value.get_binary();
    return { bytes.begin(), bytes.end() };
}

json encode(const StoreIdentity& identity)
{
    return { static_cast<uint64_t>(identity.store), identity.incarnation, static_cast<uint64_t>(identity.session) };
}

StoreIdentity decodeIdentity(const json& value)
{
    return { .store = static_cast<StoreId>(value.at(0).get<uint64_t>()),
        .incarnation = value.at(1).get<uint64_t>(),
        .session = static_cast<SessionId>(value.at(2).get<uint64_t>()) };
}

HostId decodeHost(const json& value)
{
    auto text = value.get<std::string>();
    if (!HostId::isValid(text))
        throw json::other_error::create(501, "not a host id", nullptr);
    return HostId(std::move(text));
}

EntryKind decodeEntryKind(const json& value)
{
    const auto kind = value.get<uint64_t>();
    if (kind > static_cast<uint64_t>(EntryKind::Empty))
        throw json::other_error::create(501, "unknown entry kind", nullptr);
    return static_cast<EntryKind>(kind);
}

Membership decodeMembers(const json& value)
{
    auto membership = decodeMembership(bytesOf(value));
    if (!membership)
        throw json::other_error::create(501, membership.error().message, nullptr);
    return std::move(*membership);
}

// Each body is encoded as an array of its fields in declaration order.
json encodeBody(const VoteRequest& body)
{
    return { body.term, body.lastIndex, body.lastTerm, body.isPreVote, body.isTransfer };
}

json encodeBody(const VoteResponse& body) { return { body.term, body.isPreVote, body.isGranted }; }

json encodeBody(const AppendRequest& body)
{
    auto entries = json::array();
    for (const auto& entry : body.entries)
        entries.push_back({ entry.index, entry.term, static_cast<uint64_t>(entry.kind), binary(entry.payload) });
    auto evidence = json::array();
    for (const auto& item : body.evidence)
        evidence.push_back({ item.host.value(), encode(item.identity), item.term, item.index });
    return { body.previousIndex, body.previousTerm, std::move(entries), body.commitIndex, body.round,
        std::move(evidence) };
}

json encodeBody(const AppendResponse& body)
{
    return { body.isAccepted, body.isVoting, body.matchIndex, body.rejectedIndex, body.hintIndex, body.round };
}

json encodeBody(const SnapshotChunk& body)
{
    return { body.index, body.indexTerm, binary(encodeMembership(body.members)), body.totalBytes, body.checksum,
        body.offset, binary(body.data), body.round };
}

json encodeBody(const SnapshotResponse& body) { return { body.index, body.receivedBytes, body.round }; }

json encodeBody(const TimeoutNow&) { return json::array(); }

json encodeBody(const IdentityCheck& body) { return { body.storedTerm, body.storedIndex }; }

json encodeBody(const IdentityCheckResponse& body)
{
    return { encode(body.subject), body.isOutdated, body.isGroupBootstrapped };
}

LogMessageBody decodeVoteRequest(const json& value)
{
    return VoteRequest { .term = value.at(0).get<Term>(),
        .lastIndex = value.at(1).get<LogIndex>(),
        .lastTerm = value.at(2).get<Term>(),
        .isPreVote = value.at(3).get<bool>(),
        .isTransfer = value.at(4).get<bool>() };
}

LogMessageBody decodeVoteResponse(const json& value)
{
    return VoteResponse {
        .term = value.at(0).get<Term>(), .isPreVote = value.at(1).get<bool>(), .isGranted = value.at(2).get<bool>()
    };
}

LogMessageBody decodeAppendRequest(const json& value)
{
    AppendRequest body { .previousIndex = value.at(0).get<LogIndex>(),
        .previousTerm = value.at(1).get<Term>(),
        .entries = {},
        .commitIndex = value.at(3).get<LogIndex>(),
        .round = value.at(4).get<uint64_t>(),
        .evidence = {} };
    LogIndex expected = body.previousIndex;
    Term lowest = body.previousTerm;
    for (const auto& entry : value.at(2)) {
        body.entries.push_back({ .index = entry.at(0).get<LogIndex>(),
            .term = entry.at(1).get<Term>(),
            .kind = decodeEntryKind(entry.at(2)),
            .payload = bytesOf(entry.at(3)) });
        const LogEntry& added = body.entries.back();
        if (added.index != ++expected || added.term < lowest)
            throw json::other_error::create(501, "entries are not in sequence", nullptr);
        lowest = added.term;
        if (added.kind == EntryKind::Members && !decodeMembership(added.payload))
            throw json::other_error::create(501, "an entry holds no member list", nullptr);
    }
    for (const auto& item : value.at(5))
        body.evidence.push_back({ .host = decodeHost(item.at(0)),
            .identity = decodeIdentity(item.at(1)),
            .term = item.at(2).get<Term>(),
            .index = item.at(3).get<LogIndex>() });
    return body;
}

LogMessageBody decodeAppendResponse(const json& value)
{
    return AppendResponse { .isAccepted = value.at(0).get<bool>(),
        .isVoting = value.at(1).get<bool>(),
        .matchIndex = value.at(2).get<LogIndex>(),
        .rejectedIndex = value.at(3).get<LogIndex>(),
        .hintIndex = value.at(4).get<LogIndex>(),
        .round = value.at(5).get<uint64_t>() };
}

LogMessageBody decodeSnapshotChunk(const json& value)
{
    return SnapshotChunk { .index = value.at(0).get<LogIndex>(),
        .indexTerm = value.at(1).get<Term>(),
        .members = decodeMembers(value.at(2)),
        .totalBytes = value.at(3).get<uint64_t>(),
        .checksum = value.at(4).get<uint64_t>(),
        .offset = value.at(5).get<uint64_t>(),
        .data = bytesOf(value.at(6)),
        .round = value.at(7).get<uint64_t>() };
}

LogMessageBody decodeSnapshotResponse(const json& value)
{
    return SnapshotResponse { .index = value.at(0).get<LogIndex>(),
        .receivedBytes = value.at(1).get<uint64_t>(),
        .round = value.at(2).get<uint64_t>() };
}

LogMessageBody decodeTimeoutNow(const json&) { return TimeoutNow {}; }

LogMessageBody decodeIdentityCheck(const json& value)
{
    return IdentityCheck { .storedTerm = value.at(0).get<Term>(), .storedIndex = value.at(1).get<LogIndex>() };
}

LogMessageBody decodeIdentityVerdict(const json& value)
{
    return IdentityCheckResponse { .subject = decodeIdentity(value.at(0)),
        .isOutdated = value.at(1).get<bool>(),
        .isGroupBootstrapped = value.at(2).get<bool>() };
}

// In the order of the alternatives of LogMessageBody.
constexpr std::array bodyDecoders { decodeVoteRequest, decodeVoteResponse, decodeAppendRequest, decodeAppendResponse,
    decodeSnapshotChunk, decodeSnapshotResponse, decodeTimeoutNow, decodeIdentityCheck, decodeIdentityVerdict };
static_assert(bodyDecoders.size() == std::variant_size_v<LogMessageBody>);

/// Levels of arrays that a message may have; more than any kind uses.
constexpr size_t maxDepth = 8;

} // namespace

std::string encodeLogMessage(const LogMessage& message)
{
    const json value
        = json::array({ message.group, message.from.value(), encode(message.identity), message.to.value(), message.term,
            message.body.index(), std::visit([](const auto& body) { return encodeBody(body); }, message.body) });
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

Expected<LogMessage> decodeLogMessage(std::string_view bytes)
{
    const auto document = parseCborArrays(bytes, maxDepth);
    if (!document)
        return makeError(ErrorCode::InvalidArgument, "the log message is " + document.error().message);
    try {
        const json& value = *document;
        const auto kind = value.at(5).get<size_t>();
        if (kind >= bodyDecoders.size())
            return makeError(ErrorCode::InvalidArgument, "the log message has an unknown kind");
        return LogMessage { .group = value.at(0).get<std::string>(),
            .from = decodeHost(value.at(1)),
            .identity = decodeIdentity(value.at(2)),
            .to = decodeHost(value.at(3)),
            .term = value.at(4).get<Term>(),
            .body = bodyDecoders[kind](value.at(6)) };
    } catch (const json::exception& exception) {
        return makeError(ErrorCode::InvalidArgument, std::string("the log message is malformed: ") + exception.what());
    }
}

} // namespace hickoryknot
