#include "app/ControlQueue.h"

#include "app/SteadyTime.h"

namespace hickoryknot {

bool ControlQueue::tryPost(Work work)
{
    return m_thread->tryPost([plane = m_plane, work = std::move(work)] { work(*plane, steadyNow(), wallNow()); });
}

} // namespace hickoryknot
