#pragma once

#include <cstdint>
#include <optional>

#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

/// Response to a PeerMessage.
struct PeerReply {
    HostId host;
    /// True while the responding host leads the cell's group in `cellTerm`.
    bool leadsCell { false };
    uint64_t cellTerm { 0 };
    /// Empty if unknown to the responding host.
    std::optional<HostId> cellLeader;
    /// Highest committed table version known to the responding host.
    uint64_t cellTableVersion { 0 };
    /// Zone lease granted by the cell leader, measured by the receiver from when it sent the peer message; 0
    /// means none.
    Duration zoneLease { 0 };
    /// Table lease granted by the cell leader, measured by the receiver from when it sent the peer message; 0
    /// means none.
    Duration tableLease { 0 };

    friend bool operator==(const PeerReply&, const PeerReply&) = default;
};

} // namespace hickoryknot
