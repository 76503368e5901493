#pragma once

#include <string>
#include <vector>

#include "table/Table.h"

namespace hickoryknot {

/// Explains the effects of a table change, one sentence per changed column with row, old value, new value and effect.
/// InvalidArgument: the change is malformed and would be rejected.
Expected<std::vector<std::string>> explainChange(const Table&, const TableChange&);

} // namespace hickoryknot
