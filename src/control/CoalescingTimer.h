#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "core/Time.h"

namespace hickoryknot {

/// One-shot timer that coalesces requests: the callback runs once, however often schedule() is called before it
/// expires. Must be used on the io_context's thread.
class CoalescingTimer {
public:
    CoalescingTimer(boost::asio::io_context&, std::function<void()> callback);
    ~CoalescingTimer();
    CoalescingTimer(const CoalescingTimer&) = delete;
    CoalescingTimer& operator=(const CoalescingTimer&) = delete;

    /// Runs the callback after `delay`. Has no effect while an earlier request is pending, even with a shorter delay.
    void schedule(Duration delay);

private:
    boost::asio::steady_timer m_timer;
    std::function<void()> m_callback;
    bool m_isScheduled { false };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot
