#pragma once

#include <string>
#include <vector>

#include "table/Table.h"

namespace hickoryknot {

/// What a table change will do, in sentences that name row, column, old value, new value and effect.
/// InvalidArgument: the change is malformed and would be refused.
Expected<std::vector<std::string>> explainChange(const Table&, const TableChange&);

} // namespace hickoryknot
