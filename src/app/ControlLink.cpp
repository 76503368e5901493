#include "app/ControlLink.h"

#include "app/SteadyTime.h"

namespace hickoryknot {

bool ControlLink::tryPost(Work work)
{
    return m_thread->tryPost([plane = m_plane, work = std::move(work)] { work(*plane, steadyNow(), wallNow()); });
}

} // namespace hickoryknot
