#pragma once

#include <functional>
#include <string>
#include <thread>

#include "core/BoundedRing.h"
#include "core/Time.h"

namespace hickoryknot {

struct DutyThreadSettings {
    /// At most 15 characters, shown by process tools.
    std::string name;
    /// Items that may wait before the source is refused.
    size_t ringCapacity { 4096 };
    /// Longest pause between two calls of the periodic function.
    Duration period { 10ms };
};

/// One thread for one duty. Runs the work items of its ring in order and a periodic function between them.
class DutyThread {
public:
    using Work = std::function<void()>;

    DutyThread(DutyThreadSettings, Work periodic);
    ~DutyThread();

    void start();

    /// Refuses the item if the ring is full, so that the caller can refuse its own source. Thread safe.
    bool tryPost(Work);

    /// Waits for room. Only for threads on which this duty never waits itself. Thread safe.
    bool post(Work);

    /// Finishes what the ring holds and joins the thread.
    void stop();

private:
    void run();

    DutyThreadSettings m_settings;
    Work m_periodic;
    BoundedRing<Work> m_ring;
    std::thread m_thread;
};

} // namespace hickoryknot
