#pragma once

#include <string>
#include <tl/expected.hpp>

namespace hickoryknot {

/// Closed set of machine-readable error codes; errorCodeName() gives the wire form.
enum class ErrorCode {
    InvalidArgument, // A field is missing, has the wrong type or is out of range.
    TooLarge, // A body, list or string is over its limit.
    NotFound, // The named thing does not exist.
    Conflict, // The version or content differs from what is recorded.
    Expired, // The request id is older than the retention time.
    NotLeader, // Another host leads; the message names it when known.
    Unavailable, // The owner cannot be reached or has no quorum.
    Draining, // The host takes no new work.
    Overloaded, // A queue or ring is full.
    Timeout, // No answer within the deadline.
    Corrupt, // Stored data fails its checksum.
    Storage, // A write or sync failed.
    Internal, // A broken assumption inside the process.
};

const char* errorCodeName(ErrorCode);

/// An error the world can cause: a code for programs and a sentence for people.
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
