#pragma once

#include "core/Ids.h"
#include "core/Outcome.h"
#include "state/RequestTime.h"

namespace hickoryknot {

/// Asks to start a request that is not repeatable. Only RequestStarted lets the host send it to a backend server; every
/// other result means that it must not. Result: RequestStarted, RequestKnown or an error.
struct StartRequest {
    RequestId request {};
    uint64_t contentHash { 0 };
    HostId host {};
    /// When the host gives up waiting for the backend server.
    UnixMs deadlineMs { 0 };
    UnixMs atMs { 0 };
};

/// The outcome of a started request. Result: RequestKnown with the first outcome, or NotFound.
struct EndRequest {
    RequestId request {};
    Outcome outcome {};
    UnixMs atMs { 0 };
};

/// A host has died: what it had started without outcome is unknown. Result: CommandDone.
struct AbandonRequests {
    HostId host {};
    UnixMs atMs { 0 };
};

/// Moves the state's time and drops what is past its retention. Result: CommandDone.
struct Expire {
    UnixMs atMs { 0 };
};

} // namespace hickoryknot
