#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "log/LogEntry.h"
#include "log/Snapshot.h"

namespace hickoryknot {

/// The in-memory suffix of the log and the latest snapshot. The base is the last compacted index, of which only the
/// term is kept. Indices are contiguous.
class LogBuffer {
public:
    LogIndex baseIndex() const { return m_baseIndex; }
    LogIndex lastIndex() const { return m_baseIndex + m_entries.size(); }
    Term lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }

    /// The term of an entry; empty if it is below the base or above the end.
    std::optional<Term> termAt(LogIndex) const;

    /// The entry at an index above the base and up to the end.
    const LogEntry& at(LogIndex) const;

    /// Adds an entry with index lastIndex() + 1.
    void append(LogEntry);

    /// Removes the entry at `index` and all after it.
    void truncateFrom(LogIndex index);

    /// Removes entries up to and including `index`, whose term is kept.
    void compactTo(LogIndex index);

    /// Discards all entries; the log continues after the snapshot.
    void resetTo(const Snapshot&);

    /// Sum of the payloads.
    size_t payloadBytes() const { return m_payloadBytes; }

    /// The lowest index from which on the entries up to `last` have at most `maxBytes` of payload, less one: an index
    /// to compact to.
    LogIndex indexBeforeLast(size_t maxBytes, LogIndex last) const;

    /// Entries from `first` on, limited to `maxBytes` of payload. Returns at least one entry if there is any.
    std::vector<LogEntry> slice(LogIndex first, size_t maxBytes) const;

    /// The index before the first entry of the term at `index`: the next probe position after a log mismatch.
    LogIndex lastIndexBeforeTermOf(LogIndex index) const;

    void setSnapshot(Snapshot snapshot) { m_snapshot = std::move(snapshot); }
    const std::optional<Snapshot>& snapshot() const { return m_snapshot; }

private:
    LogIndex m_baseIndex { 0 };
    Term m_baseTerm { 0 };
    std::deque<LogEntry> m_entries;
    size_t m_payloadBytes { 0 };
    std::optional<Snapshot> m_snapshot;
};

} // namespace hickoryknot
