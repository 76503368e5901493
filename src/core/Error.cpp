#include "core/Error.h"

namespace hickoryknot {

const char* errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Expired:
        return "request_id_expired";
    case ErrorCode::NotLeader:
        return "not_leader";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Draining:
        return "draining";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Corrupt:
        return "corrupt";
    case ErrorCode::Storage:
        return "storage";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace hickoryknot
