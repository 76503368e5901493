#pragma once

#include <string>
#include <string_view>

#include "core/Error.h"
#include "core/Outcome.h"

namespace hickoryknot {

/// `{"outcome","reason","sentence","answer"}`; a response that is not UTF-8 goes into `answerBase64`.
/// For Accepted the response is the job id.
std::string encodeOutcome(const Outcome&);

/// InvalidArgument or TooLarge: the message names the field and the allowed range.
Expected<Outcome> decodeOutcome(std::string_view);

} // namespace hickoryknot
