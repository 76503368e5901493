#pragma once

#include <functional>
#include <string>
#include <thread>

#include "core/BoundedRing.h"
#include "core/Time.h"

namespace hickoryknot {

struct WorkQueueThreadSettings {
    /// Thread name of at most 15 characters, shown by process tools.
    std::string name;
    /// Maximum number of queued work items.
    size_t ringCapacity { 4096 };
    /// Interval between two calls of the periodic function.
    Duration period { 10ms };
};

/// A thread that runs the work items of a bounded queue in order, and a periodic function between them.
class WorkQueueThread {
public:
    using Work = std::function<void()>;

    WorkQueueThread(WorkQueueThreadSettings, Work periodic);
    ~WorkQueueThread();

    void start();

    /// Returns false if the queue is full, so that the caller can apply backpressure. Thread-safe.
    bool tryPost(Work);

    /// Blocks while the queue is full. Must not be called from threads that this thread waits for. Thread-safe.
    bool post(Work);

    /// Runs the remaining work items and joins the thread.
    void stop();

private:
    void run();

    WorkQueueThreadSettings m_settings;
    Work m_periodic;
    BoundedRing<Work> m_ring;
    std::thread m_thread;
};

} // namespace hickoryknot
