#include "fakes/FakeNetwork.h"

namespace hickoryknot {

void FakeNetwork::partition(const HostId& one, const HostId& other)
{
    partitionOneWay(one, other);
    partitionOneWay(other, one);
}

void FakeNetwork::send(TimePoint now, Message parcel)
{
    if (m_random(1000) < lossPerMille)
        return;
    const unsigned copies = m_random(1000) < duplicatePerMille ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        const auto span = static_cast<uint32_t>((maxDelay - minDelay).count()) + 1;
        m_underWay.emplace(now + minDelay + Duration(m_random(span)), parcel);
    }
}

std::optional<FakeNetwork::Message> FakeNetwork::receive(TimePoint now)
{
    while (!m_underWay.empty() && m_underWay.begin()->first <= now) {
        Message parcel = std::move(m_underWay.begin()->second);
        m_underWay.erase(m_underWay.begin());
        if (!isPartitioned(parcel.from, parcel.to))
            return parcel;
    }
    return std::nullopt;
}

} // namespace hickoryknot
