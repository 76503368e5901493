#include "app/NetworkLoop.h"

#include <boost/asio/post.hpp>
#include <pthread.h>

namespace hickoryknot {

NetworkLoop::NetworkLoop(size_t ringCapacity)
    : m_guard(m_context.get_executor())
    , m_ring(ringCapacity)
{
}

NetworkLoop::~NetworkLoop() { stop(); }

void NetworkLoop::start()
{
    m_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), "network");
        m_context.run();
    });
}

bool NetworkLoop::post(Work work)
{
    if (!m_ring.push(std::move(work)))
        return false;
    // One wake-up runs all items posted before it.
    if (!m_isWakeScheduled.exchange(true))
        boost::asio::post(m_context, [this] { runPosted(); });
    return true;
}

void NetworkLoop::stop()
{
    m_ring.close();
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void NetworkLoop::runPosted()
{
    m_isWakeScheduled = false;
    while (auto work = m_ring.tryPop())
        (*work)();
}

} // namespace hickoryknot
