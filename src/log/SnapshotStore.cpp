#include "log/SnapshotStore.h"

#include <algorithm>
#include <cstdio>
#include <xxhash.h>

#include "core/Assert.h"
#include "log/ByteCoding.h"

namespace hickoryknot {

namespace {

constexpr uint64_t magic = 0x3150414e53484b48; // "HKHSNAP1"
constexpr size_t headerBytes = 48;
constexpr size_t checksumOffset = 40;
constexpr std::string_view prefix = "snapshot-";
constexpr std::string_view suffix = ".snap";
constexpr const char* temporaryName = "snapshot.tmp";

std::string fileName(LogIndex index)
{
    char name[40];
    std::snprintf(name, sizeof name, "snapshot-%020llu.snap", static_cast<unsigned long long>(index));
    return name;
}

std::string encodeHeader(const Snapshot& snapshot)
{
    std::string header;
    appendLittleEndian(header, magic);
    appendLittleEndian(header, snapshot.index);
    appendLittleEndian(header, snapshot.term);
    appendLittleEndian(header, static_cast<uint64_t>(snapshot.members.size()));
    appendLittleEndian(header, static_cast<uint64_t>(snapshot.data->size()));
    return header;
}

uint64_t checksumOf(std::string_view header, std::string_view members, std::string_view data)
{
    const uint64_t ofHeader = XXH3_64bits(header.data(), checksumOffset);
    const uint64_t ofMembers = XXH3_64bits_withSeed(members.data(), members.size(), ofHeader);
    return XXH3_64bits_withSeed(data.data(), data.size(), ofMembers);
}

std::optional<Snapshot> decode(std::string_view bytes)
{
    if (bytes.size() < headerBytes || readLittleEndian<uint64_t>(bytes, 0) != magic)
        return std::nullopt;
    const auto membersBytes = readLittleEndian<uint64_t>(bytes, 24);
    const auto dataBytes = readLittleEndian<uint64_t>(bytes, 32);
    const std::string_view content = bytes.substr(headerBytes);
    if (membersBytes > content.size() || dataBytes != content.size() - membersBytes)
        return std::nullopt;
    const auto members = content.substr(0, membersBytes);
    const auto data = content.substr(membersBytes);
    if (readLittleEndian<uint64_t>(bytes, checksumOffset) != checksumOf(bytes, members, data))
        return std::nullopt;
    return Snapshot { .index = readLittleEndian<uint64_t>(bytes, 8),
        .term = readLittleEndian<uint64_t>(bytes, 16),
        .members = std::string(members),
        .data = std::make_shared<const std::string>(data) };
}

} // namespace

SnapshotStore::SnapshotStore(Disk& disk)
    : m_disk(disk)
{
}

Expected<std::vector<Snapshot>> SnapshotStore::load()
{
    const auto names = m_disk.list();
    if (!names)
        return tl::unexpected(names.error());
    std::vector<Snapshot> snapshots;
    for (const auto& name : *names) {
        if (name == temporaryName) {
            if (auto removed = m_disk.remove(name); !removed)
                return tl::unexpected(removed.error());
        }
        if (!name.starts_with(prefix) || !name.ends_with(suffix))
            continue;
        const auto bytes = m_disk.read(name);
        if (!bytes)
            return tl::unexpected(bytes.error());
        auto snapshot = decode(*bytes);
        if (snapshot && fileName(snapshot->index) == name) {
            m_kept.push_back(snapshot->index);
            snapshots.push_back(std::move(*snapshot));
        } else
            m_damagedFiles.push_back(name);
    }
    std::reverse(snapshots.begin(), snapshots.end());
    return snapshots;
}

Expected<void> SnapshotStore::write(const Snapshot& snapshot)
{
    HICKORYKNOT_ASSERT(snapshot.data, "a snapshot has data");
    std::string header = encodeHeader(snapshot);
    appendLittleEndian(header, checksumOf(header, snapshot.members, *snapshot.data));
    // An interrupted earlier write may have left a temporary file.
    if (auto removed = m_disk.remove(temporaryName); !removed && removed.error().code != ErrorCode::NotFound)
        return removed;
    auto written = m_disk.append(temporaryName, header + snapshot.members)
                       .and_then([&] { return m_disk.append(temporaryName, *snapshot.data); })
                       .and_then([&] { return m_disk.sync(temporaryName); })
                       .and_then([&] { return m_disk.rename(temporaryName, fileName(snapshot.index)); })
                       .and_then([&] { return m_disk.syncFolder(); });
    if (!written)
        return written;
    std::erase(m_kept, snapshot.index);
    m_kept.insert(std::upper_bound(m_kept.begin(), m_kept.end(), snapshot.index), snapshot.index);
    return removeOldest();
}

Expected<void> SnapshotStore::removeOldest()
{
    while (m_kept.size() > 2) {
        if (auto removed = m_disk.remove(fileName(m_kept.front())); !removed)
            return removed;
        m_kept.erase(m_kept.begin());
    }
    return {};
}

LogIndex SnapshotStore::compactionIndex() const { return m_kept.size() < 2 ? 0 : m_kept.front(); }

} // namespace hickoryknot
