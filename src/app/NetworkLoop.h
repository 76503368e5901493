#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <thread>

#include "core/BoundedRing.h"

namespace hickoryknot {

/// The network thread: one io_context, with a bounded ring through which other threads hand in work.
class NetworkLoop {
public:
    using Work = std::function<void()>;

    explicit NetworkLoop(size_t ringCapacity);
    ~NetworkLoop();

    boost::asio::io_context& context() { return m_context; }

    void start();

    /// Waits for room. Thread safe; not for the network thread itself, which must never wait.
    bool post(Work);

    /// Ends the loop and joins its thread.
    void stop();

private:
    void runPosted();

    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    BoundedRing<Work> m_ring;
    std::atomic<bool> m_isWakeScheduled { false };
    std::thread m_thread;
};

} // namespace hickoryknot
