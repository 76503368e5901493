#pragma once

#include <optional>
#include <vector>

#include "log/Disk.h"
#include "log/Snapshot.h"

namespace hickoryknot {

/// Keeps the last two snapshots as files with a checksum. Snapshots are written atomically: to a temporary file, which
/// is synced and renamed. Not thread safe.
class SnapshotStore {
public:
    /// Keeps a reference to `disk`.
    explicit SnapshotStore(Disk& disk);

    /// The readable snapshots, newest first; removes temporary files. A snapshot that fails its checksum is skipped
    /// and listed in damagedFiles(). Storage: a file cannot be read.
    Expected<std::vector<Snapshot>> load();

    /// Stores a snapshot durably and removes all but the last two. Storage: a write or sync failed.
    Expected<void> write(const Snapshot&);

    /// Index of the older snapshot, 0 without one: records up to it are not needed even if the newer one is damaged.
    LogIndex compactionIndex() const;

    /// Names of the snapshot files that failed their checksum in load().
    const std::vector<std::string>& damagedFiles() const { return m_damagedFiles; }

private:
    Expected<void> removeOldest();

    Disk& m_disk;
    std::vector<LogIndex> m_kept; // Ascending.
    std::vector<std::string> m_damagedFiles;
};

} // namespace hickoryknot
