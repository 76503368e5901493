#pragma once

namespace hickoryknot::control_paths {

// HTTP paths of calls between hosts.
inline constexpr const char* call = "/fleet/call";
inline constexpr const char* permission = "/fleet/permit";
inline constexpr const char* metrics = "/metrics";

} // namespace hickoryknot::control_paths
