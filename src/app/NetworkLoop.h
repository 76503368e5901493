#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <thread>

#include "core/BoundedRing.h"

namespace hickoryknot {

/// The network thread: runs an io_context, and work posted by other threads through a bounded ring buffer.
class NetworkLoop {
public:
    using Work = std::function<void()>;

    explicit NetworkLoop(size_t ringCapacity);
    ~NetworkLoop();

    boost::asio::io_context& context() { return m_context; }

    void start();

    /// Blocks while the ring buffer is full. Thread-safe, but must not be called on the network thread, which must
    /// never block.
    bool post(Work);

    /// Stops the loop and joins its thread.
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
