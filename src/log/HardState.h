#pragma once

#include <vector>

#include "core/Ids.h"
#include "log/IdentityEvidence.h"

namespace hickoryknot {

/// The persistent state of a voter besides its log entries.
struct HardState {
    Term term { 0 };
    HostId votedFor; // Empty: no vote in this term.
    std::vector<IdentityEvidence> evidence;

    friend bool operator==(const HardState&, const HardState&) = default;
};

} // namespace hickoryknot
