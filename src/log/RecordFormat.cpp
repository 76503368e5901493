#include "log/RecordFormat.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "core/Assert.h"
#include "log/ByteCoding.h"

namespace hickoryknot {

namespace {

constexpr uint32_t magic = 0x314b4b48; // "HKK1"
constexpr size_t checksumOffset = 24;
constexpr size_t maxBodyBytes = 1 << 30; // A larger length means corruption.

uint64_t checksumOf(std::string_view header, std::string_view body)
{
    return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(header.data(), checksumOffset));
}

nlohmann::json toJson(const IdentityEvidence& evidence)
{
    return { evidence.host.value(), static_cast<uint64_t>(evidence.identity.store), evidence.identity.incarnation,
        static_cast<uint64_t>(evidence.identity.session), evidence.term, evidence.index };
}

IdentityEvidence evidenceFromJson(const nlohmann::json& json)
{
    return { .host = HostId(json.at(0).get<std::string>()),
        .identity = { .store = static_cast<StoreId>(json.at(1).get<uint64_t>()),
            .incarnation = json.at(2).get<uint64_t>(),
            .session = static_cast<SessionId>(json.at(3).get<uint64_t>()) },
        .term = json.at(4).get<Term>(),
        .index = json.at(5).get<LogIndex>() };
}

} // namespace

void appendRecord(std::string& bytes, RecordKind kind, uint64_t batch, bool isBatchEnd, std::string_view body)
{
    HICKORYKNOT_ASSERT(body.size() <= maxBodyBytes, "a record fits its length field");
    std::string header;
    appendLittleEndian(header, magic);
    appendLittleEndian(header, static_cast<uint32_t>(body.size()));
    appendLittleEndian(header, batch);
    appendLittleEndian(header, static_cast<uint8_t>(kind));
    appendLittleEndian(header, static_cast<uint8_t>(isBatchEnd));
    header.resize(checksumOffset);
    appendLittleEndian(header, checksumOf(header, body));
    bytes.append(header).append(body);
}

std::optional<RecordView> readRecord(std::string_view bytes, size_t offset)
{
    if (offset > bytes.size() || bytes.size() - offset < recordHeaderBytes)
        return std::nullopt;
    const std::string_view header = bytes.substr(offset, recordHeaderBytes);
    const size_t length = readLittleEndian<uint32_t>(header, 4);
    if (readLittleEndian<uint32_t>(header, 0) != magic || length > bytes.size() - offset - recordHeaderBytes)
        return std::nullopt;
    const std::string_view body = bytes.substr(offset + recordHeaderBytes, length);
    if (readLittleEndian<uint64_t>(header, checksumOffset) != checksumOf(header, body))
        return std::nullopt;
    return RecordView { .kind = static_cast<RecordKind>(header[16]),
        .batch = readLittleEndian<uint64_t>(header, 8),
        .isBatchEnd = header[17] != 0,
        .body = body,
        .size = recordHeaderBytes + length };
}

std::optional<size_t> findRecordOfLaterBatch(std::string_view bytes, size_t offset, uint64_t batch)
{
    std::string pattern;
    appendLittleEndian(pattern, magic);
    for (size_t at = bytes.find(pattern, offset); at != std::string_view::npos; at = bytes.find(pattern, at + 1)) {
        const auto record = readRecord(bytes, at);
        if (record && record->batch > batch)
            return at;
    }
    return std::nullopt;
}

std::string encodeUint64Pair(uint64_t first, uint64_t second)
{
    std::string body;
    appendLittleEndian(body, first);
    appendLittleEndian(body, second);
    return body;
}

Expected<std::pair<uint64_t, uint64_t>> decodeUint64Pair(std::string_view body)
{
    if (body.size() != 16)
        return makeError(ErrorCode::Corrupt, "a record of two integers has the wrong size");
    return std::pair(readLittleEndian<uint64_t>(body, 0), readLittleEndian<uint64_t>(body, 8));
}

std::string encodeEntry(const LogEntry& entry)
{
    std::string body = encodeUint64Pair(entry.index, entry.term);
    appendLittleEndian(body, static_cast<uint8_t>(entry.kind));
    return body.append(entry.payload);
}

Expected<LogEntry> decodeEntry(std::string_view body)
{
    if (body.size() < 17 || static_cast<uint8_t>(body[16]) > static_cast<uint8_t>(EntryKind::Empty))
        return makeError(ErrorCode::Corrupt, "an entry record is malformed");
    return LogEntry { .index = readLittleEndian<uint64_t>(body, 0),
        .term = readLittleEndian<uint64_t>(body, 8),
        .kind = static_cast<EntryKind>(body[16]),
        .payload = std::string(body.substr(17)) };
}

std::string encodeHardState(const HardState& state)
{
    nlohmann::json json { { "term", state.term }, { "votedFor", state.votedFor.value() } };
    json["evidence"] = nlohmann::json::array();
    for (const auto& evidence : state.evidence)
        json["evidence"].push_back(toJson(evidence));
    std::string body;
    nlohmann::json::to_cbor(json, body);
    return body;
}

Expected<HardState> decodeHardState(std::string_view body)
{
    try {
        const auto json = nlohmann::json::from_cbor(body);
        HardState state { .term = json.at("term").get<Term>(),
            .votedFor = HostId(json.at("votedFor").get<std::string>()),
            .evidence = {} };
        for (const auto& evidence : json.at("evidence"))
            state.evidence.push_back(evidenceFromJson(evidence));
        return state;
    } catch (const nlohmann::json::exception& exception) {
        return makeError(ErrorCode::Corrupt, std::string("a term record is malformed: ") + exception.what());
    }
}

} // namespace hickoryknot
