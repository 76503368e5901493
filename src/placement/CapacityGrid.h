#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <vector>

#include "core/Resources.h"
#include "placement/Indices.h"

namespace hickoryknot {

/// Workers sorted into 64 by 64 cells by free processors and free memory, with four cells per power of two, so that the
/// tightest fitting workers are found without looking at the others. Lists and masks are flat; nothing allocates once
/// every worker has been inserted.
class CapacityGrid {
public:
    CapacityGrid() { m_heads.fill(noIndex); }

    /// Inserts the worker or moves it to the cell of `open`.
    void put(WorkerIndex worker, const Resources& open)
    {
        grow(worker);
        const uint32_t cell = cellOf(open);
        if (m_cells[worker] == cell)
            return;
        remove(worker);
        m_cells[worker] = cell;
        m_previous[worker] = noIndex;
        m_next[worker] = m_heads[cell];
        if (m_heads[cell] != noIndex)
            m_previous[m_heads[cell]] = worker;
        m_heads[cell] = worker;
        m_memoryMasks[cell / levels] |= uint64_t { 1 } << (cell % levels);
        m_processorMask |= uint64_t { 1 } << (cell / levels);
    }

    /// Takes the worker out if it is inside.
    void remove(WorkerIndex worker)
    {
        if (worker >= m_cells.size() || m_cells[worker] == noIndex)
            return;
        const uint32_t cell = m_cells[worker];
        m_cells[worker] = noIndex;
        if (m_next[worker] != noIndex)
            m_previous[m_next[worker]] = m_previous[worker];
        if (m_previous[worker] != noIndex) {
            m_next[m_previous[worker]] = m_next[worker];
            return;
        }
        m_heads[cell] = m_next[worker];
        if (m_heads[cell] != noIndex)
            return;
        m_memoryMasks[cell / levels] &= ~(uint64_t { 1 } << (cell % levels));
        if (!m_memoryMasks[cell / levels])
            m_processorMask &= ~(uint64_t { 1 } << (cell / levels));
    }

    /// Calls `visit(worker)` for workers that may fit `need`, tight cells first, until it returns false. A visited
    /// worker of a boundary cell may not fit; a worker that fits is always visited unless the visitor stops earlier.
    template <typename Visitor> void search(const Resources& need, Visitor&& visit) const
    {
        const uint32_t first = cellOf(need);
        uint64_t rows = m_processorMask & (~uint64_t { 0 } << (first / levels));
        for (; rows; rows &= rows - 1) {
            const auto row = static_cast<uint32_t>(std::countr_zero(rows));
            uint64_t columns = m_memoryMasks[row] & (~uint64_t { 0 } << (first % levels));
            for (; columns; columns &= columns - 1) {
                const uint32_t cell = row * levels + static_cast<uint32_t>(std::countr_zero(columns));
                for (WorkerIndex worker = m_heads[cell]; worker != noIndex; worker = m_next[worker]) {
                    if (!visit(worker))
                        return;
                }
            }
        }
    }

private:
    static constexpr uint32_t levels = 64;
    // Smallest steps that get a cell of their own; levels then reach 3,200 cores and 4 TiB.
    static constexpr int64_t millicoreStep = 50;
    static constexpr int64_t mebibyteStep = 64;

    static uint32_t levelOf(int64_t amount)
    {
        if (amount < 4)
            return amount < 0 ? 0 : static_cast<uint32_t>(amount);
        const auto top = static_cast<uint32_t>(std::bit_width(static_cast<uint64_t>(amount))) - 1;
        const uint32_t level = (top - 1) * 4 + static_cast<uint32_t>((amount >> (top - 2)) & 3);
        return std::min(level, levels - 1);
    }

    static uint32_t cellOf(const Resources& amount)
    {
        return levelOf(amount.millicores.count() / millicoreStep) * levels
            + levelOf(amount.mebibytes.count() / mebibyteStep);
    }

    void grow(WorkerIndex worker)
    {
        if (worker < m_cells.size())
            return;
        m_cells.resize(worker + 1, noIndex);
        m_next.resize(worker + 1, noIndex);
        m_previous.resize(worker + 1, noIndex);
    }

    uint64_t m_processorMask { 0 };
    std::array<uint64_t, levels> m_memoryMasks {};
    std::array<WorkerIndex, size_t { levels } * levels> m_heads;
    std::vector<uint32_t> m_cells;
    std::vector<WorkerIndex> m_next;
    std::vector<WorkerIndex> m_previous;
};

} // namespace hickoryknot
