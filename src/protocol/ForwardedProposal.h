#pragma once

#include <string>

#include "core/Time.h"

namespace hickoryknot {

/// A proposal that a host forwards to the leader of a consensus group.
struct ForwardedProposal {
    /// Encoded command, any bytes.
    std::string payload;
    /// Time from arrival until the forwarding host stops waiting.
    Duration deadline { 0 };

    friend bool operator==(const ForwardedProposal&, const ForwardedProposal&) = default;
};

} // namespace hickoryknot
