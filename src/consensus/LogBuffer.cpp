#include "consensus/LogBuffer.h"

#include "core/Assert.h"

namespace hickoryknot {

std::optional<Term> LogBuffer::termAt(LogIndex index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const LogEntry& LogBuffer::at(LogIndex index) const
{
    HICKORYKNOT_ASSERT(index > m_baseIndex && index <= lastIndex(), "the entry is in memory");
    return m_entries[index - m_baseIndex - 1];
}

void LogBuffer::append(LogEntry entry)
{
    HICKORYKNOT_ASSERT(entry.index == lastIndex() + 1, "entries are appended without gaps");
    HICKORYKNOT_ASSERT(entry.term >= lastTerm(), "terms never decrease along the log");
    m_payloadBytes += entry.payload.size();
    m_entries.push_back(std::move(entry));
}

void LogBuffer::truncateFrom(LogIndex index)
{
    HICKORYKNOT_ASSERT(index > m_baseIndex, "compacted entries cannot be truncated");
    while (index <= lastIndex()) {
        m_payloadBytes -= m_entries.back().payload.size();
        m_entries.pop_back();
    }
}

void LogBuffer::compactTo(LogIndex index)
{
    if (index <= m_baseIndex)
        return;
    m_baseTerm = at(index).term;
    for (; m_baseIndex < index; ++m_baseIndex) {
        m_payloadBytes -= m_entries.front().payload.size();
        m_entries.pop_front();
    }
}

void LogBuffer::resetTo(const Snapshot& snapshot)
{
    m_entries.clear();
    m_payloadBytes = 0;
    m_baseIndex = snapshot.index;
    m_baseTerm = snapshot.term;
    m_snapshot = snapshot;
}

LogIndex LogBuffer::indexBeforeLast(size_t maxBytes, LogIndex last) const
{
    size_t bytes = 0;
    LogIndex index = last;
    for (; index > m_baseIndex; --index) {
        bytes += at(index).payload.size();
        if (bytes > maxBytes)
            break;
    }
    return index;
}

std::vector<LogEntry> LogBuffer::slice(LogIndex first, size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    size_t bytes = 0;
    for (LogIndex index = first; index <= lastIndex(); ++index) {
        const LogEntry& entry = at(index);
        bytes += entry.payload.size();
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(entry);
    }
    return entries;
}

LogIndex LogBuffer::lastIndexBeforeTermOf(LogIndex index) const
{
    const Term term = *termAt(index);
    while (index > m_baseIndex && *termAt(index) == term)
        --index;
    return index;
}

} // namespace hickoryknot
