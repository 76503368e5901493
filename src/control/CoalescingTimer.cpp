#include "control/CoalescingTimer.h"

#include <utility>

namespace hickoryknot {

CoalescingTimer::CoalescingTimer(boost::asio::io_context& io, std::function<void()> callback)
    : m_timer(io)
    , m_callback(std::move(callback))
{
}

CoalescingTimer::~CoalescingTimer() { *m_isAlive = false; }

void CoalescingTimer::schedule(Duration delay)
{
    if (std::exchange(m_isScheduled, true))
        return;
    m_timer.expires_after(delay);
    m_timer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        if (error || !*alive)
            return;
        m_isScheduled = false;
        m_callback();
    });
}

} // namespace hickoryknot
