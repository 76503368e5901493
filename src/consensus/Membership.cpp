#include "consensus/Membership.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/CborArrays.h"

namespace hickoryknot {

Membership::Membership(std::vector<Member> members)
{
    for (auto& member : members)
        set(std::move(member));
}

Membership Membership::fromInitial(const std::vector<InitialMember>& initial)
{
    Membership membership;
    for (const auto& member : initial)
        membership.set({ .host = member.host, .isVoter = member.isVoter });
    return membership;
}

const Member* Membership::find(const HostId& host) const
{
    const auto found
        = std::find_if(m_members.begin(), m_members.end(), [&](const Member& member) { return member.host == host; });
    return found == m_members.end() ? nullptr : &*found;
}

bool Membership::isVoter(const HostId& host, StoreId store) const
{
    const Member* member = find(host);
    const bool hasStore = store != StoreId::None;
    return member && member->isVoter && hasStore && (member->store == StoreId::None || member->store == store);
}

size_t Membership::voterCount() const
{
    return static_cast<size_t>(
        std::count_if(m_members.begin(), m_members.end(), [](const Member& member) { return member.isVoter; }));
}

void Membership::set(Member member)
{
    const auto place = std::lower_bound(m_members.begin(), m_members.end(), member,
        [](const Member& left, const Member& right) { return left.host.value() < right.host.value(); });
    if (place != m_members.end() && place->host == member.host)
        *place = std::move(member);
    else
        m_members.insert(place, std::move(member));
}

void Membership::remove(const HostId& host)
{
    std::erase_if(m_members, [&](const Member& member) { return member.host == host; });
}

std::string encodeMembership(const Membership& membership)
{
    auto json = nlohmann::json::array();
    for (const auto& member : membership.members())
        json.push_back(
            { member.host.value(), static_cast<uint64_t>(member.store), member.isVoter, member.isPromotionPending });
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

Expected<Membership> decodeMembership(std::string_view bytes)
{
    try {
        const auto members = parseCborArrays(bytes, 2);
        if (!members)
            return makeError(ErrorCode::Corrupt, "the member list is " + members.error().message);
        Membership membership;
        for (const auto& member : *members)
            membership.set({ .host = HostId(member.at(0).get<std::string>()),
                .store = static_cast<StoreId>(member.at(1).get<uint64_t>()),
                .isVoter = member.at(2).get<bool>(),
                .isPromotionPending = member.at(3).get<bool>() });
        return membership;
    } catch (const nlohmann::json::exception& exception) {
        return makeError(ErrorCode::Corrupt, std::string("a member list is malformed: ") + exception.what());
    }
}

} // namespace hickoryknot
