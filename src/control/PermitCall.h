#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/Time.h"
#include "workflow/PermitBook.h"

namespace hickoryknot {

/// The leader asks another host to call the permission service, which serves one call at a time for each calling host.
struct PermitCall {
    workflow::StepRef step;
    std::vector<WorkerId> workers;
    Duration timeLimit { 0 };
};

std::string encodePermitCall(const PermitCall&);
/// Corrupt: the bytes are no such call.
Expected<PermitCall> decodePermitCall(std::string_view);

std::string encodePermitAnswer(const workflow::PermitAnswer&);
/// Corrupt: the bytes are no such answer.
Expected<workflow::PermitAnswer> decodePermitAnswer(std::string_view);

} // namespace hickoryknot
