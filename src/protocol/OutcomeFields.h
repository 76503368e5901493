#pragma once

#include <nlohmann/json_fwd.hpp>

#include "core/Outcome.h"

namespace hickoryknot {

class ObjectReader;

/// An outcome as an object inside a larger message.
nlohmann::json outcomeToJson(const Outcome&);
Outcome readOutcome(ObjectReader&);

} // namespace hickoryknot
