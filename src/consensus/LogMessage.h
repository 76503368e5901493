#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/Membership.h"
#include "core/Error.h"
#include "core/Ids.h"
#include "log/IdentityEvidence.h"
#include "log/LogEntry.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// Asks for a vote, or with isPreVote whether a vote would be given.
struct VoteRequest {
    Term term { 0 }; // The term to be led.
    LogIndex lastIndex { 0 };
    Term lastTerm { 0 };
    bool isPreVote { false };
    bool isTransfer { false }; // The old leader asked for this election.

    friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

struct VoteResponse {
    Term term { 0 }; // Of the request.
    bool isPreVote { false };
    bool isGranted { false };

    friend bool operator==(const VoteResponse&, const VoteResponse&) = default;
};

/// Entries after `previousIndex`; without entries a heartbeat.
struct AppendRequest {
    LogIndex previousIndex { 0 };
    Term previousTerm { 0 };
    std::vector<LogEntry> entries;
    LogIndex commitIndex { 0 };
    uint64_t round { 0 }; // Echoed, so that the leader knows when the answered message was sent.
    std::vector<IdentityEvidence> evidence;

    friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

struct AppendResponse {
    bool isAccepted { false };
    bool isVoting { false }; // False: the sender's right to vote is not confirmed.
    LogIndex matchIndex { 0 }; // Accepted: durable up to here and equal to the leader's log.
    LogIndex rejectedIndex { 0 }; // Rejected: previousIndex of the request.
    LogIndex hintIndex { 0 }; // Rejected: where the logs may still agree.
    uint64_t round { 0 };

    friend bool operator==(const AppendResponse&, const AppendResponse&) = default;
};

/// Part of a snapshot, for a member that needs entries which the leader no longer has.
struct SnapshotChunk {
    LogIndex index { 0 };
    Term indexTerm { 0 };
    Membership members;
    uint64_t totalBytes { 0 };
    uint64_t checksum { 0 }; // XXH3 over the whole snapshot.
    uint64_t offset { 0 };
    std::string data;
    uint64_t round { 0 };

    friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

struct SnapshotResponse {
    LogIndex index { 0 };
    uint64_t receivedBytes { 0 };
    uint64_t round { 0 };

    friend bool operator==(const SnapshotResponse&, const SnapshotResponse&) = default;
};

/// The leader asks the receiver to hold an election at once.
struct TimeoutNow {
    friend bool operator==(const TimeoutNow&, const TimeoutNow&) = default;
};

/// A restarted voter asks whether its disk is as new as what others have seen of it.
struct IdentityCheck {
    Term storedTerm { 0 };
    LogIndex storedIndex { 0 };

    friend bool operator==(const IdentityCheck&, const IdentityCheck&) = default;
};

struct IdentityVerdict {
    StoreIdentity subject; // The identity that asked.
    bool isOutdated { false }; // Later acknowledgements of the subject are known.
    bool isGroupFormed { false }; // The sender's log has entries: a host without any must not form the group again.

    friend bool operator==(const IdentityVerdict&, const IdentityVerdict&) = default;
};

using LogMessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotChunk,
    SnapshotResponse, TimeoutNow, IdentityCheck, IdentityVerdict>;

/// A message between the members of one replicated log.
struct LogMessage {
    std::string group;
    HostId from;
    StoreIdentity identity; // Of the sender.
    HostId to;
    Term term { 0 }; // The sender's term.
    LogMessageBody body;

    friend bool operator==(const LogMessage&, const LogMessage&) = default;
};

/// Bytes for the wire (CBOR).
std::string encodeLogMessage(const LogMessage&);

/// InvalidArgument: the bytes are not a message; the sentence says why.
Expected<LogMessage> decodeLogMessage(std::string_view);

} // namespace hickoryknot
