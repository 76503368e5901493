#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hickoryknot {

enum class TextAlign : uint8_t {
    Left,
    Right,
};

/// Formats an aligned text table: a header, a separator line, and one line per row. Widths are in UTF-8 code points.
/// Control characters in cells are replaced by `?`, so that untrusted text cannot move the terminal cursor.
class TextTable {
public:
    struct Column {
        std::string title;
        TextAlign align { TextAlign::Left };
    };

    explicit TextTable(std::vector<Column>);

    /// Missing cells are empty; too many cells violate a precondition.
    void addRow(std::vector<std::string> cells);

    size_t rows() const { return m_rows.size(); }

    /// The table with a newline after each line and without trailing blanks.
    std::string render() const;

private:
    std::vector<Column> m_columns;
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace hickoryknot
