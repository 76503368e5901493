#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/Time.h"
#include "workflow/PermissionTracker.h"

namespace hickoryknot {

/// Request of the leader to another host to call the permission service, which serves one call at a time per calling
/// host.
struct PermissionCall {
    workflow::StepRef step;
    std::vector<WorkerId> workers;
    Duration timeout { 0 };
};

std::string encodePermissionCall(const PermissionCall&);
/// Error Corrupt: the bytes are not a valid call.
Expected<PermissionCall> decodePermissionCall(std::string_view);

std::string encodePermissionResponse(const workflow::PermissionResponse&);
/// Error Corrupt: the bytes are not a valid response.
Expected<workflow::PermissionResponse> decodePermissionResponse(std::string_view);

} // namespace hickoryknot
