#pragma once

#include <cstdint>
#include <optional>

#include "core/Ids.h"

namespace hickoryknot {

/// Milliseconds since 1970-01-01 UTC, as in log entries.
using UnixMs = int64_t;

/// How long outcomes are kept after the end of a request or job.
constexpr UnixMs retentionMs = 10LL * 60 * 1000;

/// The timestamp in a request id of the form `<caller>-<unix ms>-<n>`; empty for ids of another form.
std::optional<UnixMs> requestTimestamp(const RequestId&);

} // namespace hickoryknot
