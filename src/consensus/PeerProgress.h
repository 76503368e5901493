#pragma once

#include <cstdint>
#include <optional>

#include "core/Time.h"
#include "log/LogEntry.h"
#include "log/Snapshot.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// Replication progress of one other member, tracked by the leader.
struct PeerProgress {
    enum class Mode {
        Probe, // Searches for the last matching entry with one message at a time.
        Pipeline, // Sends without waiting for responses.
        Snapshot, // Sends chunks of a snapshot, one at a time.
    };

    Mode mode { Mode::Probe };
    StoreIdentity identity; // From the latest response.
    bool isVoting { false }; // The member's responses count towards a quorum.
    LogIndex matchIndex { 0 };
    LogIndex nextIndex { 1 };
    LogIndex sentCommitIndex { 0 };
    TimePoint sentAt; // Last time entries or a heartbeat were sent.
    uint64_t sentEvidence { 0 }; // Revision of the last evidence sent.
    bool mustSend { true }; // Send a heartbeat or the first message.
    bool isWaiting { false }; // A probe or snapshot chunk awaits its response.
    uint64_t appendsInFlight { 0 };
    std::optional<Snapshot> snapshot; // Being sent.
    uint64_t snapshotChecksum { 0 };
    uint64_t snapshotOffset { 0 };
    uint64_t acknowledgedRound { 0 }; // The latest round that the member responded to.
    TimePoint acknowledgedSendTime; // When the message of that round was sent.
    bool hasResponded { false };
};

} // namespace hickoryknot
