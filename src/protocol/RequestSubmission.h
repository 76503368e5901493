#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

/// A short request of a caller; the response is sent on the same connection.
struct RequestSubmission {
    RequestId request;
    RowName row;
    TeamId team;
    /// Empty: the setting of the row applies.
    std::optional<bool> repeatable;
    /// Empty: the cell is the home of the request id.
    std::optional<ZoneId> homeZone;
    /// 1 for the first send of this request id, higher for resends.
    uint32_t attempt { 1 };
    /// Time from arrival until the caller stops waiting.
    Duration deadline { 0 };
    std::string body;
};

} // namespace hickoryknot
