#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "log/LogEntry.h"
#include "log/Snapshot.h"

namespace hickoryknot {

/// The entries of a log in memory, from the base (an index whose entry is known only by its term) to the end, and the
/// latest snapshot. Indices ascend without gaps.
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

    /// Removes entries up to `index`, which stays known by its term.
    void compactTo(LogIndex index);

    /// Drops everything and starts after the snapshot.
    void restartAt(const Snapshot&);

    /// Entries from `first` on: at least one if there is any, then as long as payloads stay within `maxBytes`.
    std::vector<LogEntry> slice(LogIndex first, size_t maxBytes) const;

    /// Where a leader should look next when the entry at `index` differs: before the first entry of its term.
    LogIndex lastIndexBeforeTermOf(LogIndex index) const;

    void setSnapshot(Snapshot snapshot) { m_snapshot = std::move(snapshot); }
    const std::optional<Snapshot>& snapshot() const { return m_snapshot; }

private:
    LogIndex m_baseIndex { 0 };
    Term m_baseTerm { 0 };
    std::deque<LogEntry> m_entries;
    std::optional<Snapshot> m_snapshot;
};

} // namespace hickoryknot
