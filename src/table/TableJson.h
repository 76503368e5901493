#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "table/Table.h"
#include "table/TableChange.h"

namespace hickoryknot {

/// One row as a JSON object with all columns.
std::string formatRowJson(const Row&);

/// `{"version":…,"rows":[…]}`.
std::string formatTableJson(uint64_t version, const std::vector<Row>&);

/// InvalidArgument: unknown column, wrong type, NaN, fraction, negative or out of range; the message names row and
/// column.
Expected<Row> parseRowJson(std::string_view);

/// Reads `{"baseVersion":…,"requestId":…,"changedBy":…,"rows":[…],"remove":[…]}`. A row object that names an existing
/// row may give only the columns to change; the others keep the values of `base`.
/// InvalidArgument: as parseRowJson. TooLarge: more than Table::maxRows entries.
Expected<TableChange> parseTableChangeJson(std::string_view, const Table& base);

/// The result as a JSON object; `changes` are the sentences of TableCheck.
std::string formatTableChangeResultJson(const TableChangeResult&, const std::vector<std::string>& changes);

} // namespace hickoryknot
