#include "log/RecordStore.h"

#include <algorithm>
#include <cstdio>

#include "core/Assert.h"
#include "log/RecordFormat.h"
#include "log/StoreIdentityFile.h"

namespace hickoryknot {

namespace {

constexpr std::string_view segmentPrefix = "segment-";

std::string segmentName(uint64_t number)
{
    char name[40];
    std::snprintf(name, sizeof name, "segment-%016llu.log", static_cast<unsigned long long>(number));
    return name;
}

tl::unexpected<Error> corrupt(const Disk& disk, const std::string& file, size_t offset, const std::string& what)
{
    return makeError(ErrorCode::Corrupt,
        disk.description() + "/" + file + " at offset " + std::to_string(offset) + ": " + what
            + ". Nothing was changed. Move the whole folder aside and start with an empty one: the host rejoins as a "
              "learner and is promoted by the leader; see docs/storage.md");
}

} // namespace

// The state accumulated from the records read so far.
struct RecordStore::Replay {
    HardState hardState;
    std::optional<std::pair<LogIndex, Term>> reset; // From the latest LogReset record.
    std::vector<LogEntry> entries;
    std::optional<uint64_t> lastBatch;
    uint64_t truncatedBytes { 0 };

    Expected<void> add(const RecordView& record, LogIndex& highestIndex)
    {
        switch (record.kind) {
        case RecordKind::SegmentStart:
            return {};
        case RecordKind::HardState:
            return decodeHardState(record.body).map([&](HardState state) { hardState = std::move(state); });
        case RecordKind::LogReset:
            return decodeUint64Pair(record.body).map([&](auto position) {
                reset = position;
                entries.clear();
            });
        case RecordKind::Entry:
            break;
        default:
            return makeError(ErrorCode::Corrupt, "the record has an unknown kind");
        }
        auto entry = decodeEntry(record.body);
        if (!entry)
            return tl::unexpected(entry.error());
        highestIndex = std::max(highestIndex, entry->index);
        return addEntry(std::move(*entry));
    }

    // An entry replaces the one with its index and all after it. Without a reset record the beginning of the log
    // has been compacted, and the first entries found may have been replaced by later ones with lower indices.
    Expected<void> addEntry(LogEntry entry)
    {
        const bool isFirst = entries.empty() || (!reset && entry.index < entries.front().index);
        const LogIndex first = !isFirst ? entries.front().index : reset ? reset->first + 1 : entry.index;
        if (entry.index < first || entry.index > first + (isFirst ? 0 : entries.size()))
            return makeError(ErrorCode::Corrupt, "the entry index is out of sequence");
        entries.resize(entry.index - first);
        entries.push_back(std::move(entry));
        return {};
    }

    // True if there is no gap between a snapshot at this index and the entries.
    bool isContiguousWith(LogIndex snapshotIndex) const
    {
        if (!entries.empty())
            return entries.front().index <= snapshotIndex + 1;
        return !reset || reset->first <= snapshotIndex;
    }
};

Expected<std::unique_ptr<RecordStore>> RecordStore::open(
    std::unique_ptr<Disk> disk, const RecordStoreSettings& settings)
{
    if (settings.session == SessionId::None || settings.host.isEmpty())
        return makeError(ErrorCode::InvalidArgument, "a record store needs a host id and a session id");
    std::unique_ptr<RecordStore> store(new RecordStore(std::move(disk), settings));
    const auto opened = store->openIdentity().and_then([&] { return store->recover(); }).and_then([&] {
        // Incremented last, so that a rejected folder is not changed.
        StoreIdentity next = store->m_identity;
        ++next.incarnation;
        return store->writeIdentity(next);
    });
    if (!opened)
        return tl::unexpected(opened.error());
    return store;
}

RecordStore::RecordStore(std::unique_ptr<Disk> disk, const RecordStoreSettings& settings)
    : m_disk(std::move(disk))
    , m_settings(settings)
    , m_snapshots(*m_disk)
{
}

RecoveredLog RecordStore::releaseRecovered() { return std::exchange(m_recovered, {}); }

Expected<void> RecordStore::openIdentity()
{
    const auto names = m_disk->list();
    if (!names)
        return tl::unexpected(names.error());
    const StoreIdentityFile file(*m_disk, m_settings.cell, m_settings.group, m_settings.host);
    const auto identity = file.read();
    if (identity) {
        m_identity = *identity;
        m_identity.session = m_settings.session;
        m_recovered.wasEmpty = false;
        return {};
    }
    if (identity.error().code != ErrorCode::NotFound)
        return tl::unexpected(identity.error());
    const bool hasData = std::any_of(names->begin(), names->end(),
        [](const auto& name) { return name.starts_with(segmentPrefix) || name.ends_with(".snap"); });
    if (hasData)
        return corrupt(*m_disk, StoreIdentityFile::name, 0, "the identity file is missing, but there are records");
    m_identity = { .store = static_cast<StoreId>(m_settings.session), .session = m_settings.session };
    return {};
}

Expected<void> RecordStore::writeIdentity(const StoreIdentity& identity)
{
    const StoreIdentityFile file(*m_disk, m_settings.cell, m_settings.group, m_settings.host);
    if (auto written = file.write(identity); !written)
        return written;
    m_identity = identity;
    return {};
}

Expected<void> RecordStore::recover()
{
    auto snapshots = m_snapshots.load();
    if (!snapshots)
        return tl::unexpected(snapshots.error());
    Replay replay;
    if (auto read = readSegments(replay); !read)
        return read;
    m_hardState = replay.hardState;
    m_batch = replay.lastBatch.value_or(0);
    m_recovered.hardState = replay.hardState;
    m_recovered.truncatedBytes = replay.truncatedBytes;
    m_recovered.damagedSnapshots = m_snapshots.damagedFiles();
    return reconcileWithSnapshots(replay, std::move(*snapshots));
}

Expected<void> RecordStore::readSegments(Replay& replay)
{
    const auto names = m_disk->list();
    if (!names)
        return tl::unexpected(names.error());
    for (const auto& name : *names) {
        if (!name.starts_with(segmentPrefix))
            continue;
        Segment segment { .number = std::strtoull(name.c_str() + segmentPrefix.size(), nullptr, 10) };
        if (name != segmentName(segment.number))
            return corrupt(*m_disk, name, 0, "the file name is not that of a segment");
        if (!m_segments.empty() && segment.number != m_segments.back().number + 1)
            return corrupt(*m_disk, segmentName(m_segments.back().number + 1), 0, "the segment is missing");
        m_segments.push_back(segment);
    }
    for (size_t i = 0; i < m_segments.size(); ++i) {
        if (auto read = readSegment(replay, m_segments[i], i + 1 == m_segments.size()); !read)
            return read;
    }
    // A segment without a complete batch was never acknowledged and can be removed.
    if (!m_segments.empty() && !m_segments.back().bytes) {
        if (auto removed = m_disk->remove(segmentName(m_segments.back().number)); !removed)
            return removed;
        m_segments.pop_back();
    }
    return {};
}

Expected<void> RecordStore::readSegment(Replay& replay, Segment& segment, bool isLast)
{
    const std::string name = segmentName(segment.number);
    const auto bytes = m_disk->read(name);
    if (!bytes)
        return tl::unexpected(bytes.error());
    std::vector<RecordView> batch;
    size_t batchStart = 0;
    size_t offset = 0;
    while (const auto record = readRecord(*bytes, offset)) {
        const uint64_t expected = replay.lastBatch ? *replay.lastBatch + 1 : record->batch;
        const bool isSameBatch = batch.empty() || record->batch == batch.front().batch;
        if (record->batch != expected || !isSameBatch)
            return corrupt(*m_disk, name, offset, "the batch number of the record is out of sequence");
        batch.push_back(*record);
        offset += record->size;
        if (!record->isBatchEnd)
            continue;
        for (const auto& part : batch) {
            if (auto added = replay.add(part, segment.highestIndex); !added)
                return corrupt(*m_disk, name, batchStart, added.error().message);
        }
        replay.lastBatch = record->batch;
        batch.clear();
        batchStart = offset;
    }
    segment.bytes = batchStart;
    if (batchStart == bytes->size())
        return {};
    // Only the batch being written at the crash may be incomplete; a later complete batch proves corruption.
    const uint64_t openBatch = !batch.empty() ? batch.front().batch : replay.lastBatch.value_or(0) + 1;
    const bool isCorrupt = !isLast || findRecordOfLaterBatch(*bytes, offset, openBatch);
    if (isCorrupt)
        return corrupt(*m_disk, name, offset, "a record before the end of the log is incomplete or fails its checksum");
    replay.truncatedBytes = bytes->size() - batchStart;
    return m_disk->truncate(name, batchStart).and_then([&] { return m_disk->sync(name); });
}

Expected<void> RecordStore::reconcileWithSnapshots(Replay& replay, std::vector<Snapshot> snapshots)
{
    const auto usable = std::find_if(snapshots.begin(), snapshots.end(),
        [&](const Snapshot& snapshot) { return replay.isContiguousWith(snapshot.index); });
    if (usable != snapshots.end())
        m_recovered.snapshot = std::move(*usable);
    else if (!replay.isContiguousWith(0)) {
        const auto& damaged = m_snapshots.damagedFiles();
        return corrupt(*m_disk, damaged.empty() ? "snapshot" : damaged.back(), 0,
            "the log starts later than the newest sound snapshot ends");
    }
    const LogIndex base = m_recovered.snapshot ? m_recovered.snapshot->index : 0;
    auto& entries = replay.entries;
    m_lastIndex = base;
    if (entries.empty())
        return {};
    // A crash may have occurred between storing a snapshot from the leader and writing the reset record.
    const LogIndex first = entries.front().index;
    const bool endsBeforeSnapshot = entries.back().index < base;
    const bool conflictsWithSnapshot
        = !endsBeforeSnapshot && base >= first && entries[base - first].term != m_recovered.snapshot->term;
    if (endsBeforeSnapshot || conflictsWithSnapshot) {
        m_pendingReset.emplace(base, m_recovered.snapshot->term);
        return {};
    }
    entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(base + 1 - first));
    m_recovered.entries = std::move(entries);
    m_lastIndex = base + m_recovered.entries.size();
    return {};
}

WriteResult RecordStore::write(const WriteBatch& batch)
{
    WriteResult result;
    result.sequence = batch.sequence;
    if (const auto written = writeAndSync(batch); !written)
        result.error = written.error();
    result.identity = m_identity;
    return result;
}

Expected<void> RecordStore::writeAndSync(const WriteBatch& batch)
{
    if (m_failure)
        return tl::unexpected(*m_failure);
    auto applied = apply(batch);
    if (!applied) {
        m_failure = Error { ErrorCode::Storage,
            applied.error().message
                + ". This host neither votes nor acknowledges writes until the disk works again; see "
                  "docs/storage.md" };
        return tl::unexpected(*m_failure);
    }
    return applied;
}

Expected<void> RecordStore::repair()
{
    HICKORYKNOT_ASSERT(m_failure, "only a failed store is repaired");
    return removeUnsynced()
        .and_then([&] {
            StoreIdentity next = m_identity;
            ++next.incarnation;
            return writeIdentity(next);
        })
        .map([&] { m_failure.reset(); });
}

// Pages of a failed write may be lost in spite of a later sync, so the file is cut back to what was synced.
Expected<void> RecordStore::removeUnsynced()
{
    const auto names = m_disk->list();
    if (!names)
        return tl::unexpected(names.error());
    // A removal during compaction may have succeeded without the sync of the folder.
    std::erase_if(m_segments, [&](const Segment& segment) {
        return std::find(names->begin(), names->end(), segmentName(segment.number)) == names->end();
    });
    if (m_segments.empty())
        return m_disk->syncFolder();
    const Segment last = m_segments.back();
    const std::string name = segmentName(last.number);
    if (last.bytes)
        return m_disk->truncate(name, last.bytes).and_then([&] { return m_disk->sync(name); }).and_then([&] {
            return m_disk->syncFolder();
        });
    return m_disk->remove(name).and_then([&] { return m_disk->syncFolder(); }).map([&] { m_segments.pop_back(); });
}

Expected<void> RecordStore::apply(const WriteBatch& batch)
{
    HICKORYKNOT_ASSERT(!batch.isLogReset || batch.snapshot, "only a snapshot can replace the log");
    if (batch.snapshot) {
        if (auto written = m_snapshots.write(*batch.snapshot); !written)
            return written;
    }
    if (batch.isLogReset)
        m_pendingReset.emplace(batch.snapshot->index, batch.snapshot->term);
    if (auto appended = appendRecords(batch); !appended)
        return appended;
    if (batch.isIdentityRenewed) {
        const StoreIdentity renewed {
            .store = static_cast<StoreId>(m_settings.session), .incarnation = 1, .session = m_settings.session
        };
        if (auto written = writeIdentity(renewed); !written)
            return written;
    }
    return batch.snapshot ? compact() : Expected<void>();
}

Expected<void> RecordStore::appendRecords(const WriteBatch& batch)
{
    if (!batch.hardState && batch.entries.empty() && !m_pendingReset)
        return {};
    const bool startsSegment = m_segments.empty() || m_segments.back().bytes >= m_settings.segmentBytes;
    std::vector<std::pair<RecordKind, std::string>> records;
    if (startsSegment) {
        m_segments.push_back({ .number = m_segments.empty() ? 1 : m_segments.back().number + 1 });
        records.emplace_back(RecordKind::SegmentStart, encodeUint64Pair(recordFormatVersion, m_segments.back().number));
    }
    if (batch.hardState)
        m_hardState = *batch.hardState;
    // Each segment repeats the term and vote, so that older segments can be removed.
    if (batch.hardState || startsSegment)
        records.emplace_back(RecordKind::HardState, encodeHardState(m_hardState));
    if (m_pendingReset) {
        records.emplace_back(RecordKind::LogReset, encodeUint64Pair(m_pendingReset->first, m_pendingReset->second));
        m_lastIndex = m_pendingReset->first;
    }
    Segment& segment = m_segments.back();
    for (const auto& entry : batch.entries) {
        HICKORYKNOT_ASSERT(entry.index <= m_lastIndex + 1, "entries are contiguous");
        records.emplace_back(RecordKind::Entry, encodeEntry(entry));
        segment.highestIndex = std::max(segment.highestIndex, entry.index);
        m_lastIndex = entry.index;
    }
    std::string bytes;
    for (size_t i = 0; i < records.size(); ++i)
        appendRecord(bytes, records[i].first, m_batch + 1, i + 1 == records.size(), records[i].second);
    const std::string name = segmentName(segment.number);
    auto written = m_disk->append(name, bytes).and_then([&] { return m_disk->sync(name); });
    if (written && startsSegment)
        written = m_disk->syncFolder();
    if (!written)
        return written;
    segment.bytes += bytes.size();
    ++m_batch;
    m_pendingReset.reset();
    return {};
}

Expected<void> RecordStore::compact()
{
    const LogIndex keptFrom = m_snapshots.compactionIndex();
    while (m_segments.size() > 1 && m_segments.front().highestIndex <= keptFrom) {
        // Synced after each removal: if only a later removal were durable, recovery would report a missing segment.
        const std::string name = segmentName(m_segments.front().number);
        if (auto removed = m_disk->remove(name).and_then([&] { return m_disk->syncFolder(); }); !removed)
            return removed;
        m_segments.erase(m_segments.begin());
    }
    return {};
}

} // namespace hickoryknot
