#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "table/Table.h"
#include "table/TableChange.h"

namespace hickoryknot {

/// Formats a row as a JSON object with all columns.
std::string formatRowJson(const Row&);

/// `{"version":…,"rows":[…]}`.
std::string formatTableJson(uint64_t version, const std::vector<Row>&);

/// InvalidArgument: unknown column, wrong type, NaN, fraction, negative or out of range; the message names row and
/// column.
Expected<Row> parseRowJson(std::string_view);

/// Parses `{"baseVersion":…,"requestId":…,"changedBy":…,"rows":[…],"remove":[…]}`. Columns that are
/// missing in the object of an existing row keep their values from `base`.
/// InvalidArgument: as parseRowJson. TooLarge: more than Table::maxRows entries.
Expected<TableChange> parseTableChangeJson(std::string_view, const Table& base);

/// Formats the result as a JSON object; `changes` are the sentences of explainChange().
std::string formatTableChangeResultJson(const TableChangeResult&, const std::vector<std::string>& changes);

} // namespace hickoryknot
