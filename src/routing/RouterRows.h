#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "routing/AdmissionQueue.h"
#include "routing/FairTurns.h"
#include "routing/RetryBudget.h"
#include "routing/ServiceTimeEstimate.h"
#include "table/Row.h"

namespace hickoryknot {

/// What the router keeps for one class row.
struct RouterRow {
    Row row;
    bool isListed { false };
    AdmissionQueue queue;
    RetryBudget budget;
    ServiceTimeEstimate serviceTime;
    /// Requests that hold a slot.
    uint32_t running { 0 };
    /// Requests of this row inside the router; its index is not reused before they have ended.
    uint32_t requests { 0 };
    /// This host's part of maxRunning.
    uint32_t runningLimit { 0 };
};

/// The class rows of the table with their queues. Rows keep their index while they are listed or have requests.
class RouterRows {
public:
    explicit RouterRows(uint32_t lowPriorityPart)
        : m_turns(lowPriorityPart)
    {
    }

    /// Team rows are left out. Rows that are gone stay until their requests have ended, not listed.
    void setTable(const std::vector<Row>&);

    /// Splits maxRunning over the hosts; the remainder goes to different hosts for different rows.
    void setHostRank(uint32_t rank, uint32_t hosts);

    std::optional<uint32_t> find(const RowName&) const;

    RouterRow& operator[](uint32_t index) { return m_rows[index]; }
    const RouterRow& operator[](uint32_t index) const { return m_rows[index]; }
    uint32_t size() const { return static_cast<uint32_t>(m_rows.size()); }

    FairTurns& turns() { return m_turns; }

private:
    uint32_t freeIndex();
    uint32_t runningLimit(const Row&) const;

    std::vector<RouterRow> m_rows;
    std::unordered_map<RowName, uint32_t> m_indexByName; // listed rows
    FairTurns m_turns;
    uint32_t m_rank { 0 };
    uint32_t m_hosts { 1 };
};

} // namespace hickoryknot
