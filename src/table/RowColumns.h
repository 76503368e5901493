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

/// One column of the table. CSV, JSON, the change check and docs/table.md all follow this catalogue.
struct RowColumn {
    std::string_view name;
    ColumnType type { ColumnType::Text };
    /// Unit as printed for people; empty if there is none.
    std::string_view unit;
    /// Inclusive range of numbers, or the texts that are allowed.
    std::string_view range;
    /// What the column does, as one sentence for operators.
    std::string_view meaning;
    std::string (*format)(const Row&);
    /// InvalidArgument: the text is not a value of this column or is out of range; the message names the range.
    Expected<void> (*parse)(Row&, std::string_view);
};

/// All columns in the order of the CSV file.
std::span<const RowColumn> rowColumns();

/// The column of that name, or null.
const RowColumn* findRowColumn(std::string_view name);

/// InvalidArgument: columns contradict each other (for example a wait bound below the target wait).
Expected<void> checkRow(const Row&);

} // namespace hickoryknot
