#include "app/MemberPolicy.h"

#include <algorithm>

namespace hickoryknot {

namespace {

/// A host counts as live for this long after its last contact.
constexpr Duration liveTimeout = 2s;

const TrackedHost* findHost(std::span<const TrackedHost* const> hosts, const HostId& host)
{
    const auto found = std::find_if(hosts.begin(), hosts.end(), [&](const auto* view) { return view->host == host; });
    return found == hosts.end() ? nullptr : *found;
}

bool isLive(const TrackedHost* view, TimePoint now) { return view && now - view->lastContactAt < liveTimeout; }

} // namespace

std::optional<MemberChange> nextMemberChange(const MemberPolicySettings& settings, const HostId& self,
    std::span<const Member> members, std::span<const TrackedHost* const> hosts, TimePoint now)
{
    const auto findMember = [&](const HostId& host) {
        return std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.host == host; });
    };
    const auto voters = static_cast<size_t>(std::count_if(members.begin(), members.end(),
        [](const Member& member) { return member.isVoter || member.isPromotionPending; }));

    // Hosts that are not members join: as voters if they have a disk and maxVoters is not reached, else as learners.
    for (const auto* view : hosts) {
        if (!isLive(view, now) || findMember(view->host) != members.end())
            continue;
        const bool canVote = view->storeId != 0 && voters < settings.maxVoters;
        return MemberChange { MemberChange::Kind::Add, view->host, canVote };
    }

    // A learner with a disk becomes a voter if maxVoters is not reached.
    for (const auto* view : hosts) {
        const auto member = findMember(view->host);
        const bool isFree = member != members.end() && !member->isVoter && !member->isPromotionPending;
        if (isFree && isLive(view, now) && view->storeId != 0 && voters < settings.maxVoters)
            return MemberChange { MemberChange::Kind::Add, view->host, true };
    }

    // A voter without contact for too long is removed, so that a live learner with a disk can replace it.
    const bool hasSubstitute = std::any_of(hosts.begin(), hosts.end(), [&](const auto* view) {
        const auto member = findMember(view->host);
        return isLive(view, now) && view->storeId != 0 && member != members.end() && !member->isVoter;
    });
    if (!hasSubstitute)
        return std::nullopt;
    const auto liveVoters
        = static_cast<size_t>(std::count_if(members.begin(), members.end(), [&](const Member& member) {
              return member.isVoter && (member.host == self || isLive(findHost(hosts, member.host), now));
          }));
    for (const auto& member : members) {
        const auto* view = findHost(hosts, member.host);
        const bool isSilent = member.host != self && view && now - view->lastContactAt > settings.replaceSilentAfter;
        if (member.isVoter && isSilent && liveVoters > voters / 2)
            return MemberChange { MemberChange::Kind::Remove, member.host, false };
    }
    return std::nullopt;
}

} // namespace hickoryknot
