#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "log/Disk.h"
#include "log/RecordStoreSettings.h"
#include "log/RecoveredLog.h"
#include "log/SnapshotStore.h"
#include "log/WriteBatch.h"
#include "log/WriteResult.h"

namespace hickoryknot {

/// Write-ahead log of one replicated log: entries, terms and votes in segment files, and snapshots in separate files.
/// A batch is written with one sync, and its records are recovered atomically. Not thread safe; after open() a storage
/// thread may own it.
class RecordStore {
public:
    /// Recovers the folder and increments the incarnation. Conflict: the folder belongs to another host, group or cell.
    /// Corrupt: a record or file in the synced part fails its checksum; the message has the file, the offset and the
    /// action for the operator. Storage: the folder cannot be read or written.
    static Expected<std::unique_ptr<RecordStore>> open(std::unique_ptr<Disk>, const RecordStoreSettings&);

    /// Store id, incarnation and session. An older copy of the folder has a lower incarnation or lastIndex().
    const StoreIdentity& identity() const { return m_identity; }
    const HostId& host() const { return m_settings.host; }

    /// Moves out the state recovered by open().
    RecoveredLog releaseRecovered();

    /// Makes a batch durable with one sync. Storage: a write or sync failed or the disk is full; every later call fails
    /// with the same error until repair() succeeds, since the operating system may have dropped the failed pages.
    Expected<void> writeAndSync(const WriteBatch&);

    /// As writeAndSync(), with the outcome as a value that can be passed between threads.
    WriteResult write(const WriteBatch&);

    /// After a failure: removes what the failed write has left on the disk and begins a new incarnation. The next batch
    /// must contain all that is not durable. Storage: the disk still fails; may be called again.
    Expected<void> repair();

    /// Index of the last durable entry or of the snapshot; 0 for none.
    LogIndex lastIndex() const { return m_lastIndex; }

    /// Set while all writes fail.
    const std::optional<Error>& failure() const { return m_failure; }

private:
    struct Segment {
        uint64_t number { 0 };
        uint64_t bytes { 0 };
        LogIndex highestIndex { 0 }; // The highest index of any entry in the segment.
    };
    struct Replay;

    RecordStore(std::unique_ptr<Disk>, const RecordStoreSettings&);
    Expected<void> openIdentity();
    Expected<void> writeIdentity(const StoreIdentity&);
    Expected<void> recover();
    Expected<void> readSegments(Replay&);
    Expected<void> readSegment(Replay&, Segment&, bool isLast);
    Expected<void> reconcileWithSnapshots(Replay&, std::vector<Snapshot>);
    Expected<void> apply(const WriteBatch&);
    Expected<void> appendRecords(const WriteBatch&);
    Expected<void> compact();
    Expected<void> removeUnsynced();

    // Settings.
    std::unique_ptr<Disk> m_disk;
    RecordStoreSettings m_settings;

    // State.
    SnapshotStore m_snapshots;
    StoreIdentity m_identity;
    HardState m_hardState;
    std::vector<Segment> m_segments;
    uint64_t m_batch { 0 }; // Number of the last batch.
    LogIndex m_lastIndex { 0 };
    std::optional<std::pair<LogIndex, Term>> m_pendingReset; // Index and term of a log reset that is not yet written.
    std::optional<Error> m_failure;
    RecoveredLog m_recovered;
};

} // namespace hickoryknot
