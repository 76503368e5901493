#pragma once

#include <optional>
#include <span>

#include "consensus/Member.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "membership/HostRegistry.h"

namespace hickoryknot {

struct MemberPolicySettings {
    /// More voters make writes slower without surviving more than two losses at once.
    size_t maxVoters { 5 };
    /// A voter silent for this long is replaced if a live host with a disk can take its place. Longer than a restart,
    /// so that an ordinary restart moves no data.
    Duration replaceSilentAfter { 60s };
};

/// One change to the members of a group.
struct MemberChange {
    enum class Kind : uint8_t {
        Add,
        Remove,
    };
    Kind kind { Kind::Add };
    HostId host;
    bool isVoter { false };
};

/// Which change the leader of a group should make next, if any. `hosts` are the hosts that belong into the group.
/// A silent voter is removed only while the remaining live voters are a majority of the old and the new group.
std::optional<MemberChange> nextMemberChange(const MemberPolicySettings&, const HostId& self,
    std::span<const Member> members, std::span<const TrackedHost* const> hosts, TimePoint now);

} // namespace hickoryknot
