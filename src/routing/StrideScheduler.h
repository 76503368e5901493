#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/Time.h"

namespace hickoryknot {

/// Selects the row that is served next, by stride scheduling. Among the rows of the highest backlogged priority, server
/// time is shared by weight: the row with the lowest pass value, its weighted service so far, goes first.
/// 1/lowPriorityDivisor of the server time is reserved for rows of lower priorities, round robin, so that no row
/// starves. The reserved part is measured in server time, not in requests: otherwise a few long requests of a low
/// priority would take most of the server time.
class StrideScheduler {
public:
    static constexpr uint32_t maxPriority = 100;

    explicit StrideScheduler(uint32_t lowPriorityDivisor)
        : m_lowPriorityDivisor(std::max(lowPriorityDivisor, 2U))
    {
    }

    /// Sets the weight (at least 1) and priority of a row.
    void setRow(uint32_t row, uint32_t weight, uint32_t priority)
    {
        if (row >= m_rows.size())
            m_rows.resize(row + 1);
        Row& entry = m_rows[row];
        entry.weight = std::max(weight, 1U);
        // Pass values are comparable only within one priority.
        const uint32_t bounded = std::min(priority, maxPriority);
        if (entry.priority != bounded)
            entry.pass = m_virtualTime[bounded];
        entry.priority = bounded;
    }

    /// The row became backlogged. It accumulates no credit for the time in which it was idle.
    void activateRow(uint32_t row)
    {
        Row& entry = m_rows[row];
        entry.pass = std::max(entry.pass, m_virtualTime[entry.priority]);
    }

    /// The next row to serve out of `candidates`; empty if there are none.
    std::optional<uint32_t> pick(std::span<const uint32_t> candidates) const
    {
        if (candidates.empty())
            return std::nullopt;
        const uint32_t highest = highestPriority(candidates);
        std::optional<uint32_t> best;
        std::optional<uint32_t> leastRecentLow;
        for (const uint32_t row : candidates) {
            const Row& entry = m_rows[row];
            if (entry.priority == highest && (!best || entry.pass < m_rows[*best].pass))
                best = row;
            if (entry.priority < highest && (!leastRecentLow || entry.lastPick < m_rows[*leastRecentLow].lastPick))
                leastRecentLow = row;
        }
        return leastRecentLow && m_lowPriorityCredit >= 0 ? leastRecentLow : best;
    }

    /// Charges the picked row for one request that uses a slot for about `cost`.
    void charge(uint32_t row, Duration cost, std::span<const uint32_t> candidates)
    {
        Row& entry = m_rows[row];
        const int64_t micros = std::max<int64_t>(cost.count(), 1);
        m_virtualTime[entry.priority] = std::max(m_virtualTime[entry.priority], entry.pass);
        entry.pass += static_cast<uint64_t>(micros) * weightScale / entry.weight;
        entry.lastPick = ++m_pickCount;

        // Rows of lower priorities accumulate credit while they wait and spend it when they are served first.
        if (entry.priority < highestPriority(candidates))
            m_lowPriorityCredit -= micros * (m_lowPriorityDivisor - 1);
        else
            m_lowPriorityCredit = std::min<int64_t>(m_lowPriorityCredit + micros, 0);
    }

private:
    // Keeps integer pass values precise for weights up to 1000 and costs from 1 us.
    static constexpr uint64_t weightScale = 1000;

    struct Row {
        uint32_t weight { 1 };
        uint32_t priority { 0 };
        uint64_t pass { 0 };
        uint64_t lastPick { 0 };
    };

    uint32_t highestPriority(std::span<const uint32_t> candidates) const
    {
        uint32_t highest = 0;
        for (const uint32_t row : candidates)
            highest = std::max(highest, m_rows[row].priority);
        return highest;
    }

    uint32_t m_lowPriorityDivisor;
    std::vector<Row> m_rows;
    std::array<uint64_t, maxPriority + 1> m_virtualTime {};
    uint64_t m_pickCount { 0 };
    // Server time in microseconds that rows of lower priorities may use; at most 0. While it is negative, rows of the
    // highest priority are served.
    int64_t m_lowPriorityCredit { 0 };
};

} // namespace hickoryknot
