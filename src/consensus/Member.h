#pragma once

#include "core/Ids.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// One host in the member list of a replicated log.
struct Member {
    HostId host;
    StoreId store {
        StoreId::None
    }; // The only store that may vote; None: not yet known (voter) or not needed (learner).
    bool isVoter { false };
    bool isPromotionPending { false }; // The leader promotes this learner to voter once it has caught up.

    friend bool operator==(const Member&, const Member&) = default;
};

/// A member as given in the settings at the first start of a group.
struct InitialMember {
    HostId host;
    bool isVoter { false };

    friend bool operator==(const InitialMember&, const InitialMember&) = default;
};

} // namespace hickoryknot
