#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

/// One entry host's share of a backend server.
struct SlotGrant {
    ServerId server;
    uint32_t slots { 0 };
    uint32_t connections { 0 };
    /// Counted by the receiver from the moment it sent the peer message.
    Duration lease { 0 };

    friend bool operator==(const SlotGrant&, const SlotGrant&) = default;
};

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
    std::vector<SlotGrant> slotGrants;

    friend bool operator==(const PeerReply&, const PeerReply&) = default;
};

} // namespace hickoryknot
