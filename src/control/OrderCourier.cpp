#include "control/OrderCourier.h"

#include "app/EventLog.h"
#include "control/HostMessageLinks.h"

namespace hickoryknot {

using namespace workflow;

namespace {

/// Answers that come within this time of each other share a message, since the leader pays for each of them.
constexpr Duration gatherTime = 4ms;

} // namespace

OrderCourier::OrderCourier(
    boost::asio::io_context& io, const HostId& self, HostMessageLinks& links, WorkerClient& workers)
    : m_links(links)
    , m_workers(workers)
    , m_flush(io, [this] { flush(); })
{
    m_answers.courier = self;
    m_links.setHandler(HostMessageKind::WorkerRequests, [this](std::string_view bytes) { take(bytes); });
}

OrderCourier::~OrderCourier()
{
    *m_isAlive = false;
    m_links.setHandler(HostMessageKind::WorkerRequests, nullptr);
}

void OrderCourier::take(std::string_view bytes)
{
    const auto orders = decodeCourierOrders(bytes);
    if (!orders) {
        EventLog::write(EventLevel::Warning, Event::RequestRejected, orders.error().message);
        return;
    }
    if (orders->fence < m_answers.fence) {
        EventLog::write(EventLevel::Info, Event::RequestRejected, "orders of an earlier leader are dropped",
            { { "leader", orders->leader.value() }, { "term", std::to_string(orders->fence) } });
        return;
    }
    if (orders->fence > m_answers.fence) {
        // Nobody waits for the answers to the earlier leader's orders any more.
        const HostId self = m_answers.courier;
        m_answers = { .courier = self, .fence = orders->fence };
        m_leader = orders->leader;
    }
    carryOut(*orders);
}

void OrderCourier::carryOut(const CourierOrders& orders)
{
    const auto answered = [this, alive = m_isAlive, fence = orders.fence](uint64_t number) {
        return [this, alive, fence, number](const RunResponse& answer) {
            if (!*alive || fence != m_answers.fence)
                return;
            m_answers.orders.push_back({ number, answer });
            m_flush.request(gatherTime);
        };
    };
    for (const auto& [number, order] : orders.looks) {
        m_workers.poll(order,
            [this, alive = m_isAlive, fence = orders.fence, number = number](const Expected<PollResponse>& answer) {
                if (!*alive || fence != m_answers.fence)
                    return;
                if (answer)
                    m_answers.looks.push_back({ number, *answer });
                else
                    m_answers.failedLooks.push_back({ number, answer.error() });
                m_flush.request(gatherTime);
            });
    }
    for (const auto& [number, order] : orders.stops)
        m_workers.stop(order, answered(number));
    for (const auto& [number, order, command] : orders.starts)
        m_workers.start(order, answered(number));
}

void OrderCourier::flush()
{
    if (m_answers.isEmpty())
        return;
    if (!m_links.send(m_leader, HostMessageKind::WorkerResponses, encodeCourierAnswers(m_answers)))
        EventLog::write(EventLevel::Warning, Event::LeaderLost, "answers of workers cannot be handed to the leader",
            { { "leader", m_leader.value() }, { "orders", std::to_string(m_answers.orders.size()) },
                { "looks", std::to_string(m_answers.looks.size()) } });
    m_answers.orders.clear();
    m_answers.looks.clear();
    m_answers.failedLooks.clear();
}

} // namespace hickoryknot
