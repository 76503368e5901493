#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/Time.h"
#include "workflow/PermitBook.h"

namespace hickoryknot {

/// Request of the leader to another host to call the permission service, which serves one call at a time per calling
/// host.
struct PermitCall {
    workflow::StepRef step;
    std::vector<WorkerId> workers;
    Duration timeLimit { 0 };
};

std::string encodePermitCall(const PermitCall&);
/// Error Corrupt: the bytes are not a valid call.
Expected<PermitCall> decodePermitCall(std::string_view);

std::string encodePermitAnswer(const workflow::PermitAnswer&);
/// Error Corrupt: the bytes are not a valid response.
Expected<workflow::PermitAnswer> decodePermitAnswer(std::string_view);

} // namespace hickoryknot
