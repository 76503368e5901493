#pragma once

#include <cstdint>
#include <optional>

#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

/// Answer to a PeerMessage.
struct PeerReply {
    HostId host;
    /// True while the answering host leads the cell's group in `cellTerm`.
    bool leadsCell { false };
    uint64_t cellTerm { 0 };
    /// Missing: unknown to the answering host.
    std::optional<HostId> cellLeader;
    /// Newest committed table version that the answering host knows.
    uint64_t cellTableVersion { 0 };
    /// Zone lease granted by the cell leader, counted by the receiver from the moment it sent the peer message;
    /// 0 means none.
    Duration zoneLease { 0 };
    /// Table lease granted by the cell leader, counted by the receiver from the moment it sent the peer message; 0
    /// means none.
    Duration tableLease { 0 };

    friend bool operator==(const PeerReply&, const PeerReply&) = default;
};

} // namespace hickoryknot
