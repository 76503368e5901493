#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "table/Row.h"

namespace hickoryknot {

/// Rows as CSV (RFC 4180) with a header line of all column names.
std::string formatTableCsv(const std::vector<Row>&);

/// Parses CSV with a header line; columns may be in any order, and missing ones have their defaults.
/// InvalidArgument: the message names line and column. TooLarge: more than Table::maxRows rows.
Expected<std::vector<Row>> parseTableCsv(std::string_view);

} // namespace hickoryknot
