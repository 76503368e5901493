#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/Time.h"

namespace hickoryknot {

/// Decides which row is served next. Among rows of the highest waiting priority, server time is shared by weight: the
/// row with the least weighted service so far goes first. One part in `lowPriorityPart` of the server time goes to rows
/// below that priority, in turn, so that no row starves. It is counted in server time because a few long requests of a
/// low priority would otherwise take most of it.
class FairTurns {
public:
    static constexpr uint32_t maxPriority = 100;

    explicit FairTurns(uint32_t lowPriorityPart)
        : m_lowPriorityPart(std::max(lowPriorityPart, 2U))
    {
    }

    /// Sets weight (at least 1) and priority of the row with this index.
    void setRow(uint32_t row, uint32_t weight, uint32_t priority)
    {
        if (row >= m_rows.size())
            m_rows.resize(row + 1);
        Row& entry = m_rows[row];
        entry.weight = std::max(weight, 1U);
        // Service so far compares only within one priority.
        const uint32_t bounded = std::min(priority, maxPriority);
        if (entry.priority != bounded)
            entry.pass = m_virtualTime[bounded];
        entry.priority = bounded;
    }

    /// The row got its first waiting request. It earns nothing for the time in which it had none.
    void rowBecameBusy(uint32_t row)
    {
        Row& entry = m_rows[row];
        entry.pass = std::max(entry.pass, m_virtualTime[entry.priority]);
    }

    /// The next row out of `candidates`; empty if there are none.
    std::optional<uint32_t> pick(std::span<const uint32_t> candidates) const
    {
        if (candidates.empty())
            return std::nullopt;
        const uint32_t highest = highestPriority(candidates);
        std::optional<uint32_t> best;
        std::optional<uint32_t> longestWaiting;
        for (const uint32_t row : candidates) {
            const Row& entry = m_rows[row];
            if (entry.priority == highest && (!best || entry.pass < m_rows[*best].pass))
                best = row;
            if (entry.priority < highest && (!longestWaiting || entry.lastTurn < m_rows[*longestWaiting].lastTurn))
                longestWaiting = row;
        }
        return longestWaiting && m_lowCredit >= 0 ? longestWaiting : best;
    }

    /// The picked row starts one request that takes about `cost` of a slot.
    void charge(uint32_t row, Duration cost, std::span<const uint32_t> candidates)
    {
        Row& entry = m_rows[row];
        const int64_t micros = std::max<int64_t>(cost.count(), 1);
        m_virtualTime[entry.priority] = std::max(m_virtualTime[entry.priority], entry.pass);
        entry.pass += static_cast<uint64_t>(micros) * weightScale / entry.weight;
        entry.lastTurn = ++m_turns;

        // Lower rows earn their part while they wait, and pay for a turn taken before higher ones.
        if (entry.priority < highestPriority(candidates))
            m_lowCredit -= micros * (m_lowPriorityPart - 1);
        else
            m_lowCredit = std::min<int64_t>(m_lowCredit + micros, 0);
    }

private:
    // Keeps whole numbers exact enough for weights up to 1000 and costs from 1 us.
    static constexpr uint64_t weightScale = 1000;

    struct Row {
        uint32_t weight { 1 };
        uint32_t priority { 0 };
        uint64_t pass { 0 };
        uint64_t lastTurn { 0 };
    };

    uint32_t highestPriority(std::span<const uint32_t> candidates) const
    {
        uint32_t highest = 0;
        for (const uint32_t row : candidates)
            highest = std::max(highest, m_rows[row].priority);
        return highest;
    }

    uint32_t m_lowPriorityPart;
    std::vector<Row> m_rows;
    std::array<uint64_t, maxPriority + 1> m_virtualTime {};
    uint64_t m_turns { 0 };
    // Server time of higher rows, in microseconds, until lower rows have their part again; at most 0.
    int64_t m_lowCredit { 0 };
};

} // namespace hickoryknot
