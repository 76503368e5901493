#include "fakes/FakeNetwork.h"

namespace hickoryknot {

void FakeNetwork::partition(const HostId& one, const HostId& other)
{
    partitionOneWay(one, other);
    partitionOneWay(other, one);
}

void FakeNetwork::send(TimePoint now, Message message)
{
    if (m_random(1000) < lossPerMille)
        return;
    const unsigned copies = m_random(1000) < duplicatePerMille ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        const auto span = static_cast<uint32_t>((maxDelay - minDelay).count()) + 1;
        m_inTransit.emplace(now + minDelay + Duration(m_random(span)), message);
    }
}

std::optional<FakeNetwork::Message> FakeNetwork::receive(TimePoint now)
{
    while (!m_inTransit.empty() && m_inTransit.begin()->first <= now) {
        Message message = std::move(m_inTransit.begin()->second);
        m_inTransit.erase(m_inTransit.begin());
        if (!isPartitioned(message.from, message.to))
            return message;
    }
    return std::nullopt;
}

} // namespace hickoryknot
