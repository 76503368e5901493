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

/// Requests a vote, or with isPreVote asks whether a vote would be granted.
struct VoteRequest {
    Term term { 0 }; // The term of the election.
    LogIndex lastIndex { 0 };
    Term lastTerm { 0 };
    bool isPreVote { false };
    bool isTransfer { false }; // Leadership transfer: voters ignore the leader lease.

    friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

struct VoteResponse {
    Term term { 0 }; // Of the request.
    bool isPreVote { false };
    bool isGranted { false };

    friend bool operator==(const VoteResponse&, const VoteResponse&) = default;
};

/// Entries after `previousIndex`; a heartbeat if there are none.
struct AppendRequest {
    LogIndex previousIndex { 0 };
    Term previousTerm { 0 };
    std::vector<LogEntry> entries;
    LogIndex commitIndex { 0 };
    uint64_t round { 0 }; // Echoed in the response, so that the leader knows the send time.
    std::vector<IdentityEvidence> evidence;

    friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

struct AppendResponse {
    bool isAccepted { false };
    bool isVoting { false }; // False: the sender's right to vote is not confirmed.
    LogIndex matchIndex { 0 }; // Accepted: durable and matching the leader's log up to this index.
    LogIndex rejectedIndex { 0 }; // Rejected: previousIndex of the request.
    LogIndex hintIndex { 0 }; // Rejected: the highest index at which the logs may match.
    uint64_t round { 0 };

    friend bool operator==(const AppendResponse&, const AppendResponse&) = default;
};

/// Part of a snapshot (InstallSnapshot), for a member that needs entries which the leader has compacted.
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

/// Leadership transfer: the receiver starts an election immediately.
struct TimeoutNow {
    friend bool operator==(const TimeoutNow&, const TimeoutNow&) = default;
};

/// Sent by a restarted voter to detect whether its store is older than the state that other members have observed.
struct IdentityCheck {
    Term storedTerm { 0 };
    LogIndex storedIndex { 0 };

    friend bool operator==(const IdentityCheck&, const IdentityCheck&) = default;
};

struct IdentityCheckResponse {
    StoreIdentity subject; // The identity of the requester.
    bool isOutdated { false }; // The sender has evidence of later acknowledgements by the subject.
    bool isGroupBootstrapped {
        false
    }; // The sender's log has entries: an empty host must not bootstrap the group again.

    friend bool operator==(const IdentityCheckResponse&, const IdentityCheckResponse&) = default;
};

using LogMessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotChunk,
    SnapshotResponse, TimeoutNow, IdentityCheck, IdentityCheckResponse>;

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

/// Encodes a message as CBOR.
std::string encodeLogMessage(const LogMessage&);

/// InvalidArgument: the bytes are not a valid message; the error message gives the reason.
Expected<LogMessage> decodeLogMessage(std::string_view);

} // namespace hickoryknot
