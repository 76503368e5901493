#pragma once

#include "core/Ids.h"
#include "log/LogEntry.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// The highest position that a store is known to have made durable, as observed by other members. Ordered by term, then
/// index: a host in a later term may have a shorter log.
struct IdentityEvidence {
    HostId host;
    StoreIdentity identity;
    Term term { 0 };
    LogIndex index { 0 };

    friend bool operator==(const IdentityEvidence&, const IdentityEvidence&) = default;
};

} // namespace hickoryknot
