#include "fakes/FakeLink.h"

namespace hickoryknot {

void FakeLink::cut(const HostId& one, const HostId& other)
{
    cutOneWay(one, other);
    cutOneWay(other, one);
}

void FakeLink::send(TimePoint now, Parcel parcel)
{
    if (m_random(1000) < lossPerMille)
        return;
    const unsigned copies = m_random(1000) < duplicatePerMille ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        const auto span = static_cast<uint32_t>((maxDelay - minDelay).count()) + 1;
        m_inTransit.emplace(now + minDelay + Duration(m_random(span)), parcel);
    }
}

std::optional<FakeLink::Parcel> FakeLink::take(TimePoint now)
{
    while (!m_inTransit.empty() && m_inTransit.begin()->first <= now) {
        Parcel parcel = std::move(m_inTransit.begin()->second);
        m_inTransit.erase(m_inTransit.begin());
        if (!isCut(parcel.from, parcel.to))
            return parcel;
    }
    return std::nullopt;
}

} // namespace hickoryknot
