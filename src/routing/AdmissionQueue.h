#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/Assert.h"
#include "routing/RouterAction.h"

namespace hickoryknot {

/// Waiting requests of one row in their order of arrival. Requests that leave early are only counted out; their entries
/// are skipped when they are reached, with the help of `isWaiting(ticket)`, and cleared before they outnumber the rest.
class AdmissionQueue {
public:
    /// Requests that wait, without skipped entries.
    uint32_t size() const { return m_waiting; }
    bool isEmpty() const { return !m_waiting; }

    /// Adds at the end. The bound is checked by the caller, who knows whether the request can start at once.
    template <typename IsWaiting> void pushBack(RequestHandle ticket, IsWaiting isWaiting)
    {
        clearSkipped(isWaiting);
        m_tickets.push_back(ticket);
        ++m_waiting;
    }

    /// Adds at the front: for requests that were taken out before and not served.
    void pushFront(RequestHandle ticket)
    {
        m_tickets.push_front(ticket);
        ++m_waiting;
    }

    /// Counts out a request that stops waiting. Its state must say so already.
    void drop()
    {
        HICKORYKNOT_ASSERT(m_waiting, "only a waiting request can be dropped");
        --m_waiting;
    }

    /// Takes the first request that still waits.
    template <typename IsWaiting> std::optional<RequestHandle> pop(IsWaiting isWaiting)
    {
        while (!m_tickets.empty()) {
            const RequestHandle ticket = m_tickets.front();
            m_tickets.pop_front();
            if (!isWaiting(ticket))
                continue;
            drop();
            return ticket;
        }
        HICKORYKNOT_ASSERT(!m_waiting, "every waiting request has an entry");
        return std::nullopt;
    }

private:
    template <typename IsWaiting> void clearSkipped(IsWaiting isWaiting)
    {
        constexpr size_t reserve = 64;
        if (m_tickets.size() > size_t(2) * m_waiting + reserve)
            std::erase_if(m_tickets, [&](RequestHandle ticket) { return !isWaiting(ticket); });
    }

    std::deque<RequestHandle> m_tickets;
    uint32_t m_waiting { 0 };
};

} // namespace hickoryknot
