#pragma once

#include <functional>

#include "control/ControlCall.h"
#include "control/ControlReply.h"

namespace hickoryknot {

/// Carries calls to another host and its replies back.
class CallTransport {
public:
    virtual ~CallTransport() = default;

    struct Result {
        /// An error means that no reply came.
        Expected<ControlReply> reply;
        /// Without a reply: the host may have carried the call out, or may yet do so.
        bool mayHaveExecuted { true };
    };
    using Completion = std::function<void(Result)>;

    /// The completion runs once, later, within about `limit`.
    virtual void send(const HostId&, const ControlCall&, Duration limit, Completion) = 0;
};

} // namespace hickoryknot
