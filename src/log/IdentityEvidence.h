#pragma once

#include "core/Ids.h"
#include "log/LogEntry.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// The latest that a host is known to have made durable, as seen by the others. `index` counts within `term`: a host in
/// a later term may have a shorter log.
struct IdentityEvidence {
    HostId host;
    StoreIdentity identity;
    Term term { 0 };
    LogIndex index { 0 };

    friend bool operator==(const IdentityEvidence&, const IdentityEvidence&) = default;
};

} // namespace hickoryknot
