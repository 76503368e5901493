#pragma once

#include <optional>
#include <span>

#include "consensus/Member.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "membership/HostRegistry.h"

namespace hickoryknot {

struct MemberPolicySettings {
    /// Five voters tolerate two failures at once; more voters would slow down writes.
    size_t maxVoters { 5 };
    /// A voter without contact for this long is replaced if a live host with a disk is available. Longer than a
    /// restart, so that an ordinary restart moves no data.
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

/// Returns the next membership change that the leader of a group should make, if any. `hosts` are the hosts that should
/// be in the group. A silent voter is removed only while the remaining live voters are a majority of both the old and
/// the new group.
std::optional<MemberChange> nextMemberChange(const MemberPolicySettings&, const HostId& self,
    std::span<const Member> members, std::span<const TrackedHost* const> hosts, TimePoint now);

} // namespace hickoryknot
