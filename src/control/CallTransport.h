#pragma once

#include <functional>

#include "control/ControlCall.h"
#include "control/ControlReply.h"

namespace hickoryknot {

/// Sends calls to other hosts and receives their replies.
class CallTransport {
public:
    virtual ~CallTransport() = default;

    struct Result {
        /// Error: no reply was received.
        Expected<ControlReply> reply;
        /// Without a reply: the host may have executed the call or may still do so.
        bool mayHaveExecuted { true };
    };
    using Completion = std::function<void(Result)>;

    /// The completion runs once, asynchronously, within about `timeout`.
    virtual void send(const HostId&, const ControlCall&, Duration timeout, Completion) = 0;
};

} // namespace hickoryknot
