#pragma once

#include <string>
#include <tl/expected.hpp>

namespace hickoryknot {

/// Machine-readable error codes; the set is closed. errorCodeName() returns the name on the wire.
enum class ErrorCode {
    InvalidArgument, // A field is missing, has the wrong type or is out of range.
    TooLarge, // A body, list or string is over its limit.
    NotFound, // The named object does not exist.
    Conflict, // The version or content differs from the recorded one.
    Expired, // The request id is older than the retention time.
    NotLeader, // Another host is the leader; the message names it if known.
    Unavailable, // The owner is unreachable or has no quorum.
    Draining, // The host accepts no new work.
    Overloaded, // A queue is full.
    Timeout, // No response before the deadline.
    Corrupt, // Stored data fails its checksum.
    Storage, // A write or sync failed.
    Internal, // An invariant inside the process was violated.
};

const char* errorCodeName(ErrorCode);

/// Error with a code for programs and a message for people.
struct Error {
    ErrorCode code { ErrorCode::Internal };
    std::string message;
};

template <typename T> using Expected = tl::expected<T, Error>;

inline tl::unexpected<Error> makeError(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error { code, std::move(message) });
}

} // namespace hickoryknot
