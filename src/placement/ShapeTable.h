#pragma once

#include <cstdint>
#include <vector>

#include "core/Resources.h"
#include "placement/Indices.h"

namespace hickoryknot {

/// The distinct task sizes (shapes). A shape that fits on no worker is not tried again until a worker gains enough
/// capacity for it. Shapes beyond the limit are not tracked and are tried each time.
class ShapeTable {
public:
    /// Adds a reference by one job to this shape. Linear in the number of shapes; returns noIndex beyond the limit.
    ShapeIndex add(const Resources& need)
    {
        ShapeIndex unused = noIndex;
        for (ShapeIndex shape = 0; shape < m_entries.size(); ++shape) {
            if (!m_entries[shape].jobs)
                unused = shape;
            else if (m_entries[shape].need == need) {
                ++m_entries[shape].jobs;
                return shape;
            }
        }
        if (unused == noIndex) {
            if (m_entries.size() == maxShapes)
                return noIndex;
            unused = static_cast<ShapeIndex>(m_entries.size());
            m_entries.emplace_back();
        }
        m_entries[unused] = { need, 1, false };
        return unused;
    }

    void remove(ShapeIndex shape)
    {
        if (shape != noIndex)
            --m_entries[shape].jobs;
    }

    bool isBlocked(ShapeIndex shape) const { return shape != noIndex && m_entries[shape].isBlocked; }
    void block(ShapeIndex shape)
    {
        if (shape == noIndex)
            return;
        m_entries[shape].isBlocked = true;
        m_hasBlocked = true;
        m_hasBlockedAccelerators |= m_entries[shape].need.accelerators.count() > 0;
    }

    /// True if tasks that need accelerators are blocked on capacity.
    bool hasBlockedAccelerators() const { return m_hasBlockedAccelerators; }

    /// Unblocks the shapes that `fits` accepts; returns true if there were any.
    template <typename Fits> bool unblock(Fits&& fits)
    {
        if (!m_hasBlocked)
            return false;
        bool hasUnblocked = false;
        m_hasBlocked = false;
        m_hasBlockedAccelerators = false;
        for (Entry& entry : m_entries) {
            if (!entry.isBlocked || !entry.jobs)
                continue;
            if (fits(entry.need)) {
                entry.isBlocked = false;
                hasUnblocked = true;
            } else {
                m_hasBlocked = true;
                m_hasBlockedAccelerators |= entry.need.accelerators.count() > 0;
            }
        }
        return hasUnblocked;
    }

private:
    // Bounds the linear searches when jobs have many different sizes.
    static constexpr size_t maxShapes = 512;

    struct Entry {
        Resources need;
        uint32_t jobs { 0 };
        bool isBlocked { false };
    };

    std::vector<Entry> m_entries;
    bool m_hasBlocked { false };
    bool m_hasBlockedAccelerators { false };
};

} // namespace hickoryknot
