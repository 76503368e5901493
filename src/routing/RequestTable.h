#pragma once

#include <cstdint>
#include <vector>

#include "core/Assert.h"
#include "routing/RoutedRequest.h"

namespace hickoryknot {

/// Slot map of requests. A handle combines the index of an entry with its generation, so that events about an ended
/// request do not find a later request in the same entry. References stay valid until the next add().
class RequestTable {
public:
    /// Adds an empty request with a handle that was never used before.
    RoutedRequest& add()
    {
        if (m_freeIndices.empty()) {
            HICKORYKNOT_ASSERT(m_entries.size() < maxEntries, "requests are bounded by RouterSettings::maxRequests");
            m_freeIndices.push_back(static_cast<uint32_t>(m_entries.size()));
            m_entries.emplace_back();
        }
        const uint32_t index = m_freeIndices.back();
        m_freeIndices.pop_back();
        Entry& entry = m_entries[index];
        entry.isUsed = true;
        entry.request = {};
        entry.request.handle = static_cast<RequestHandle>(++entry.generation << indexBits | index);
        ++m_size;
        return entry.request;
    }

    /// Null if the request has ended.
    RoutedRequest* find(RequestHandle handle)
    {
        const uint64_t index = static_cast<uint64_t>(handle) & (maxEntries - 1);
        if (index >= m_entries.size())
            return nullptr;
        Entry& entry = m_entries[index];
        return entry.isUsed && entry.request.handle == handle ? &entry.request : nullptr;
    }

    void remove(const RoutedRequest& request)
    {
        const auto index = static_cast<uint32_t>(static_cast<uint64_t>(request.handle) & (maxEntries - 1));
        Entry& entry = m_entries[index];
        HICKORYKNOT_ASSERT(entry.isUsed && &entry.request == &request, "a request is removed once");
        entry.isUsed = false;
        entry.request.submission.reset();
        m_freeIndices.push_back(index);
        --m_size;
    }

    size_t size() const { return m_size; }

private:
    static constexpr uint32_t indexBits = 20;
    static constexpr uint64_t maxEntries = 1U << indexBits;

    struct Entry {
        RoutedRequest request;
        uint64_t generation { 0 };
        bool isUsed { false };
    };

    std::vector<Entry> m_entries;
    std::vector<uint32_t> m_freeIndices;
    size_t m_size { 0 };
};

} // namespace hickoryknot
