#pragma once

#include <functional>

#include "app/DutyThread.h"
#include "core/Time.h"

namespace hickoryknot {

class ControlPlane;

/// The way from the network thread to the control thread.
class ControlLink {
public:
    using Work = std::function<void(ControlPlane&, TimePoint now, WallTime wall)>;

    /// Refuses when the control thread is too far behind; the network thread must never wait for it.
    bool tryPost(Work);

    void connect(DutyThread& thread, ControlPlane& plane)
    {
        m_thread = &thread;
        m_plane = &plane;
    }

private:
    DutyThread* m_thread { nullptr };
    ControlPlane* m_plane { nullptr };
};

} // namespace hickoryknot
