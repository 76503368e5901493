#pragma once

#include <cstdint>
#include <vector>

#include "core/Assert.h"
#include "routing/RoutedRequest.h"

namespace hickoryknot {

/// Requests by ticket. A ticket joins a place and a count of its uses, so that events about an ended request find
/// nothing. References stay valid until the next add().
class RequestTable {
public:
    /// Adds an empty request with a ticket that was never used before.
    RoutedRequest& add()
    {
        if (m_free.empty()) {
            HICKORYKNOT_ASSERT(m_places.size() < placeLimit, "requests are bounded by RouterSettings::maxRequests");
            m_free.push_back(static_cast<uint32_t>(m_places.size()));
            m_places.emplace_back();
        }
        const uint32_t index = m_free.back();
        m_free.pop_back();
        Place& place = m_places[index];
        place.isUsed = true;
        place.request = {};
        place.request.ticket = static_cast<RequestHandle>(++place.uses << placeBits | index);
        ++m_size;
        return place.request;
    }

    /// Null if the request has ended.
    RoutedRequest* find(RequestHandle ticket)
    {
        const uint64_t index = static_cast<uint64_t>(ticket) & (placeLimit - 1);
        if (index >= m_places.size())
            return nullptr;
        Place& place = m_places[index];
        return place.isUsed && place.request.ticket == ticket ? &place.request : nullptr;
    }

    void remove(const RoutedRequest& request)
    {
        const auto index = static_cast<uint32_t>(static_cast<uint64_t>(request.ticket) & (placeLimit - 1));
        Place& place = m_places[index];
        HICKORYKNOT_ASSERT(place.isUsed && &place.request == &request, "a request is removed once");
        place.isUsed = false;
        place.request.submission.reset();
        m_free.push_back(index);
        --m_size;
    }

    size_t size() const { return m_size; }

private:
    static constexpr uint32_t placeBits = 20;
    static constexpr uint64_t placeLimit = 1U << placeBits;

    struct Place {
        RoutedRequest request;
        uint64_t uses { 0 };
        bool isUsed { false };
    };

    std::vector<Place> m_places;
    std::vector<uint32_t> m_free;
    size_t m_size { 0 };
};

} // namespace hickoryknot
