#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/Error.h"
#include "table/Row.h"

namespace hickoryknot {

/// JSON type of a column's value.
enum class ColumnType : uint8_t {
    Text,
    Number,
    Boolean,
};

/// Descriptor of one table column. CSV, JSON, the change explanations and docs/table.md are all based on it.
struct RowColumn {
    std::string_view name;
    ColumnType type { ColumnType::Text };
    /// Unit for display; empty if there is none.
    std::string_view unit;
    /// Inclusive range of numbers, or the allowed texts.
    std::string_view range;
    /// One sentence for operators.
    std::string_view description;
    std::string (*format)(const Row&);
    /// InvalidArgument: the text is malformed or out of range; the message names the range.
    Expected<void> (*parse)(Row&, std::string_view);
};

/// All columns in the order of the CSV file.
std::span<const RowColumn> rowColumns();

/// Null if there is no such column.
const RowColumn* findRowColumn(std::string_view name);

/// InvalidArgument: columns contradict each other (for example a wait bound below the target wait).
Expected<void> checkRow(const Row&);

} // namespace hickoryknot
