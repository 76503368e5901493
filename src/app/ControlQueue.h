#pragma once

#include <functional>

#include "app/WorkQueueThread.h"
#include "core/Time.h"

namespace hickoryknot {

class ControlPlane;

/// Posts work from the network thread to the control thread.
class ControlQueue {
public:
    using Work = std::function<void(ControlPlane&, TimePoint now, WallTime wall)>;

    /// Returns false if the queue of the control thread is full; the network thread must never wait for it.
    bool tryPost(Work);

    void connect(WorkQueueThread& thread, ControlPlane& plane)
    {
        m_thread = &thread;
        m_plane = &plane;
    }

private:
    WorkQueueThread* m_thread { nullptr };
    ControlPlane* m_plane { nullptr };
};

} // namespace hickoryknot
