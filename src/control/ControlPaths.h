#pragma once

namespace hickoryknot::control_paths {

// Paths of the calls between hosts of a fleet.
inline constexpr const char* call = "/fleet/call";
inline constexpr const char* permission = "/fleet/permit";
inline constexpr const char* metrics = "/metrics";

} // namespace hickoryknot::control_paths
