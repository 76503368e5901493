#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/Time.h"
#include "workflow/PermissionTracker.h"

namespace hickoryknot {

/// The leader asks another host to call the permission service, which serves one call at a time for each calling host.
struct PermissionCall {
    workflow::StepRef step;
    std::vector<WorkerId> workers;
    Duration timeout { 0 };
};

std::string encodePermissionCall(const PermissionCall&);
/// Corrupt: the bytes are no such call.
Expected<PermissionCall> decodePermissionCall(std::string_view);

std::string encodePermissionResponse(const workflow::PermissionResponse&);
/// Corrupt: the bytes are no such answer.
Expected<workflow::PermissionResponse> decodePermissionResponse(std::string_view);

} // namespace hickoryknot
