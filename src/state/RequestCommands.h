#pragma once

#include "core/Ids.h"
#include "core/Outcome.h"
#include "state/RequestTime.h"

namespace hickoryknot {

/// Starts a request that is not repeatable. The host may send it to a backend server only if the result is
/// RequestStarted. Result: RequestStarted, RequestKnown or an error.
struct StartRequest {
    RequestId request {};
    uint64_t contentHash { 0 };
    HostId host {};
    /// When the host stops waiting for the backend server.
    UnixMs deadlineMs { 0 };
    UnixMs atMs { 0 };
};

/// Records the outcome of a started request. Result: RequestKnown with the first outcome, or NotFound.
struct EndRequest {
    RequestId request {};
    Outcome outcome {};
    UnixMs atMs { 0 };
};

/// A host has failed: its requests without an outcome end as unknown. Result: CommandDone.
struct AbandonRequests {
    HostId host {};
    UnixMs atMs { 0 };
};

/// Advances the logical time and removes records past their retention time. Result: CommandDone.
struct Expire {
    UnixMs atMs { 0 };
};

} // namespace hickoryknot
