#include "app/WorkQueueThread.h"

#include <pthread.h>

#include "app/SteadyTime.h"

namespace hickoryknot {

WorkQueueThread::WorkQueueThread(WorkQueueThreadSettings settings, Work periodic)
    : m_settings(std::move(settings))
    , m_periodic(std::move(periodic))
    , m_ring(m_settings.ringCapacity)
{
}

WorkQueueThread::~WorkQueueThread() { stop(); }

void WorkQueueThread::start()
{
    m_thread = std::thread([this] { run(); });
}

bool WorkQueueThread::tryPost(Work work) { return m_ring.tryPush(work); }

bool WorkQueueThread::post(Work work) { return m_ring.push(std::move(work)); }

void WorkQueueThread::stop()
{
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
}

void WorkQueueThread::run()
{
    pthread_setname_np(pthread_self(), m_settings.name.substr(0, 15).c_str());
    TimePoint nextPeriod = steadyNow();
    while (true) {
        const TimePoint now = steadyNow();
        if (now >= nextPeriod) {
            if (m_periodic)
                m_periodic();
            nextPeriod = steadyNow() + m_settings.period;
        }
        auto work = m_ring.popFor(std::max(Duration(0), nextPeriod - steadyNow()));
        if (work)
            (*work)();
        else if (m_ring.isClosed())
            return;
    }
}

} // namespace hickoryknot
