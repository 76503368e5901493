#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "placement/Indices.h"

namespace hickoryknot {

/// Maps each name to a dense index in order of first use, so that the placement code compares no strings. Indices are
/// never reused. The map is never iterated, so results don't depend on hash order.
template <typename Id> class Interner {
public:
    uint32_t intern(const Id& id)
    {
        const auto [entry, isNew] = m_indices.try_emplace(id, static_cast<uint32_t>(m_names.size()));
        if (isNew)
            m_names.push_back(id);
        return entry->second;
    }

    /// noIndex if the name has never been interned.
    uint32_t find(const Id& id) const
    {
        const auto entry = m_indices.find(id);
        return entry == m_indices.end() ? noIndex : entry->second;
    }

    const Id& name(uint32_t index) const { return m_names[index]; }
    size_t size() const { return m_names.size(); }

private:
    std::unordered_map<Id, uint32_t> m_indices;
    std::vector<Id> m_names;
};

} // namespace hickoryknot
