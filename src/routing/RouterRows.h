#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"
#include "routing/AdmissionQueue.h"
#include "routing/RetryBudget.h"
#include "routing/ServiceTimeEstimate.h"
#include "routing/StrideScheduler.h"
#include "table/Row.h"

namespace hickoryknot {

/// Router state of one class row.
struct RouterRow {
    Row row;
    bool isListed { false };
    AdmissionQueue queue;
    RetryBudget budget;
    ServiceTimeEstimate serviceTime;
    /// Requests with an allocated slot.
    uint32_t running { 0 };
    /// Requests of this row in the router; the row index is not reused before they have ended.
    uint32_t requests { 0 };
    /// This host's share of maxRunning.
    uint32_t runningLimit { 0 };
};

/// Class rows of the table with their queues. A row keeps its index while it is in the table or has requests.
class RouterRows {
public:
    explicit RouterRows(uint32_t lowPriorityDivisor)
        : m_scheduler(lowPriorityDivisor)
    {
    }

    /// Replaces the table; team rows are ignored. Removed rows stay, with isListed unset, until their requests have
    /// ended.
    void setTable(const std::vector<Row>&);

    /// Divides maxRunning among the hosts; the remainder goes to different hosts for different rows.
    void setHostRank(uint32_t rank, uint32_t hosts);

    std::optional<uint32_t> find(const RowName&) const;

    RouterRow& operator[](uint32_t index) { return m_rows[index]; }
    const RouterRow& operator[](uint32_t index) const { return m_rows[index]; }
    uint32_t size() const { return static_cast<uint32_t>(m_rows.size()); }

    StrideScheduler& scheduler() { return m_scheduler; }

private:
    uint32_t freeIndex();
    uint32_t runningLimit(const Row&) const;

    std::vector<RouterRow> m_rows;
    std::unordered_map<RowName, uint32_t> m_indexByName; // rows of the current table
    StrideScheduler m_scheduler;
    uint32_t m_rank { 0 };
    uint32_t m_hosts { 1 };
};

} // namespace hickoryknot
