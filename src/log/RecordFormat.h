#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/Error.h"
#include "log/HardState.h"
#include "log/LogEntry.h"

namespace hickoryknot {

/// The format of segment files. Each record has a header of 32 bytes: magic, body length, batch number, kind, whether
/// it ends its batch, and an xxHash64 (XXH3) over header and body. All numbers are little endian.
enum class RecordKind : uint8_t {
    SegmentStart = 1, // First record of a segment; body: format version and segment number.
    HardState = 2,
    Entry = 3,
    LogReset = 4, // Discards all earlier entries; body: index and term before the next entry.
};

inline constexpr uint32_t recordFormatVersion = 1;
inline constexpr size_t recordHeaderBytes = 32;

/// A record as found in a segment; `body` points into the segment's bytes.
struct RecordView {
    RecordKind kind { RecordKind::Entry };
    uint64_t batch { 0 };
    bool isBatchEnd { false };
    std::string_view body;
    size_t size { 0 }; // Header and body, in bytes.
};

/// Appends a record to `bytes`.
void appendRecord(std::string& bytes, RecordKind, uint64_t batch, bool isBatchEnd, std::string_view body);

/// The record at `offset`; empty if it is incomplete or fails its checksum.
std::optional<RecordView> readRecord(std::string_view bytes, size_t offset);

/// Offset of the first complete record after `offset` whose batch number is above `batch`.
std::optional<size_t> findRecordOfLaterBatch(std::string_view bytes, size_t offset, uint64_t batch);

/// Encoding of record bodies. The decoders return Corrupt for a malformed body.
std::string encodeUint64Pair(uint64_t first, uint64_t second);
Expected<std::pair<uint64_t, uint64_t>> decodeUint64Pair(std::string_view);
std::string encodeEntry(const LogEntry&);
Expected<LogEntry> decodeEntry(std::string_view);
std::string encodeHardState(const HardState&);
Expected<HardState> decodeHardState(std::string_view);

} // namespace hickoryknot
