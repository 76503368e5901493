#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <vector>

#include "core/Resources.h"
#include "placement/Indices.h"

namespace hickoryknot {

/// Index of workers by free processors and free memory: 64 by 64 buckets, four per power of two on each axis, so that a
/// best-fit search visits the workers with the least sufficient capacity first and skips the others. The bucket lists
/// are linked through flat arrays and the bit masks have a fixed size; nothing allocates once every worker is inserted.
class CapacityGrid {
public:
    CapacityGrid() { m_heads.fill(noIndex); }

    /// Inserts the worker or moves it to the bucket of `available`.
    void insertOrMove(WorkerIndex worker, const Resources& available)
    {
        ensureSize(worker);
        const uint32_t bucket = bucketOf(available);
        if (m_buckets[worker] == bucket)
            return;
        remove(worker);
        m_buckets[worker] = bucket;
        m_previous[worker] = noIndex;
        m_next[worker] = m_heads[bucket];
        if (m_heads[bucket] != noIndex)
            m_previous[m_heads[bucket]] = worker;
        m_heads[bucket] = worker;
        m_memoryMasks[bucket / levelsPerAxis] |= uint64_t { 1 } << (bucket % levelsPerAxis);
        m_processorMask |= uint64_t { 1 } << (bucket / levelsPerAxis);
    }

    /// Removes the worker if it is present.
    void remove(WorkerIndex worker)
    {
        if (worker >= m_buckets.size() || m_buckets[worker] == noIndex)
            return;
        const uint32_t bucket = m_buckets[worker];
        m_buckets[worker] = noIndex;
        if (m_next[worker] != noIndex)
            m_previous[m_next[worker]] = m_previous[worker];
        if (m_previous[worker] != noIndex) {
            m_next[m_previous[worker]] = m_next[worker];
            return;
        }
        m_heads[bucket] = m_next[worker];
        if (m_heads[bucket] != noIndex)
            return;
        m_memoryMasks[bucket / levelsPerAxis] &= ~(uint64_t { 1 } << (bucket % levelsPerAxis));
        if (!m_memoryMasks[bucket / levelsPerAxis])
            m_processorMask &= ~(uint64_t { 1 } << (bucket / levelsPerAxis));
    }

    /// Calls `visit(worker)` for workers that may fit `need`, lowest buckets first, until it returns false. A visited
    /// worker in a boundary bucket may not fit; a worker that fits is always visited unless `visit` stops the search.
    template <typename Visitor> void search(const Resources& need, Visitor&& visit) const
    {
        const uint32_t first = bucketOf(need);
        uint64_t rows = m_processorMask & (~uint64_t { 0 } << (first / levelsPerAxis));
        for (; rows; rows &= rows - 1) {
            const auto row = static_cast<uint32_t>(std::countr_zero(rows));
            uint64_t columns = m_memoryMasks[row] & (~uint64_t { 0 } << (first % levelsPerAxis));
            for (; columns; columns &= columns - 1) {
                const uint32_t bucket = row * levelsPerAxis + static_cast<uint32_t>(std::countr_zero(columns));
                for (WorkerIndex worker = m_heads[bucket]; worker != noIndex; worker = m_next[worker]) {
                    if (!visit(worker))
                        return;
                }
            }
        }
    }

private:
    static constexpr uint32_t levelsPerAxis = 64;
    // Smallest amounts that get a bucket of their own; 64 buckets then reach 3,200 cores and 4 TiB.
    static constexpr int64_t millicoresPerStep = 50;
    static constexpr int64_t mebibytesPerStep = 64;

    static uint32_t levelOf(int64_t amount)
    {
        if (amount < 4)
            return amount < 0 ? 0 : static_cast<uint32_t>(amount);
        const auto highestBit = static_cast<uint32_t>(std::bit_width(static_cast<uint64_t>(amount))) - 1;
        const uint32_t level = (highestBit - 1) * 4 + static_cast<uint32_t>((amount >> (highestBit - 2)) & 3);
        return std::min(level, levelsPerAxis - 1);
    }

    static uint32_t bucketOf(const Resources& amount)
    {
        return levelOf(amount.millicores.count() / millicoresPerStep) * levelsPerAxis
            + levelOf(amount.mebibytes.count() / mebibytesPerStep);
    }

    void ensureSize(WorkerIndex worker)
    {
        if (worker < m_buckets.size())
            return;
        m_buckets.resize(worker + 1, noIndex);
        m_next.resize(worker + 1, noIndex);
        m_previous.resize(worker + 1, noIndex);
    }

    uint64_t m_processorMask { 0 };
    std::array<uint64_t, levelsPerAxis> m_memoryMasks {};
    std::array<WorkerIndex, size_t { levelsPerAxis } * levelsPerAxis> m_heads;
    std::vector<uint32_t> m_buckets;
    std::vector<WorkerIndex> m_next;
    std::vector<WorkerIndex> m_previous;
};

} // namespace hickoryknot
