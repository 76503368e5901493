#pragma once

#include <array>

#include "protocol/JobSubmission.h"

namespace hickoryknot {

/// Wire form of JobKind, in the order of its values.
inline constexpr std::array<const char*, 3> jobKindNames { "service", "batch", "gang" };

constexpr const char* jobKindName(JobKind kind) { return jobKindNames.at(static_cast<size_t>(kind)); }

} // namespace hickoryknot
