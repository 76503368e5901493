#include "routing/RouterRows.h"

#include "core/Hash.h"

#include <algorithm>
#include <limits>

namespace hickoryknot {

void RouterRows::setTable(const std::vector<Row>& table)
{
    std::unordered_map<RowName, uint32_t> previous;
    previous.swap(m_indexByName);
    for (RouterRow& entry : m_rows) {
        // A row that is added again while requests of its former entry are in progress gets the same index.
        if (entry.requests)
            previous.try_emplace(entry.row.name, static_cast<uint32_t>(&entry - m_rows.data()));
        entry.isListed = false;
    }
    // Known rows first, so that new rows only get free indices.
    std::vector<const Row*> added;
    const auto update = [this](uint32_t index, const Row& row) {
        RouterRow& entry = m_rows[index];
        entry.row = row;
        entry.isListed = true;
        entry.budget.setPercent(row.retryBudgetPercent);
        entry.runningLimit = runningLimit(row);
        m_scheduler.setRow(index, row.weight, row.priority);
        m_indexByName[row.name] = index;
    };
    for (const Row& row : table) {
        if (row.kind != RowKind::Class)
            continue;
        const auto found = previous.find(row.name);
        if (found == previous.end())
            added.push_back(&row);
        else
            update(found->second, row);
    }
    for (const Row* row : added)
        update(freeIndex(), *row);
}

uint32_t RouterRows::freeIndex()
{
    const auto free
        = std::ranges::find_if(m_rows, [](const RouterRow& entry) { return !entry.isListed && !entry.requests; });
    if (free != m_rows.end()) {
        *free = {};
        return static_cast<uint32_t>(free - m_rows.begin());
    }
    m_rows.emplace_back();
    return size() - 1;
}

uint32_t RouterRows::runningLimit(const Row& row) const
{
    if (!row.maxRunning)
        return std::numeric_limits<uint32_t>::max();
    const uint64_t rotation = hashBytes(row.name.value()) % m_hosts;
    const bool getsRemainder = (m_rank + rotation) % m_hosts < row.maxRunning % m_hosts;
    return row.maxRunning / m_hosts + (getsRemainder ? 1 : 0);
}

void RouterRows::setHostRank(uint32_t rank, uint32_t hosts)
{
    m_hosts = std::max(hosts, 1U);
    m_rank = rank % m_hosts;
    for (RouterRow& entry : m_rows)
        entry.runningLimit = runningLimit(entry.row);
}

std::optional<uint32_t> RouterRows::find(const RowName& name) const
{
    const auto found = m_indexByName.find(name);
    return found == m_indexByName.end() ? std::nullopt : std::optional(found->second);
}

} // namespace hickoryknot
