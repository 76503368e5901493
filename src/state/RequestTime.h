#pragma once

#include <cstdint>
#include <optional>

#include "core/Ids.h"

namespace hickoryknot {

/// Milliseconds since 1970-01-01 UTC as carried by logged commands.
using UnixMs = int64_t;

/// Outcomes are kept this long after the end.
constexpr UnixMs retentionMs = 10LL * 60 * 1000;

/// The time inside a request id of the form `<caller>-<unix ms>-<n>`; empty for ids of another form.
std::optional<UnixMs> timeOfRequest(const RequestId&);

} // namespace hickoryknot
