#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hickoryknot {

enum class TextAlign : uint8_t {
    Left,
    Right,
};

/// Aligned table for people: a header, a rule, and one line per row. Widths count UTF-8 code points; control characters
/// in cells are shown as `?` so that foreign text cannot move the cursor.
class TextTable {
public:
    struct Column {
        std::string title;
        TextAlign align { TextAlign::Left };
    };

    explicit TextTable(std::vector<Column>);

    /// Missing cells are empty; extra cells are an error of the program.
    void addRow(std::vector<std::string> cells);

    size_t rows() const { return m_rows.size(); }

    /// The whole table with a newline after each line and no trailing blanks.
    std::string render() const;

private:
    std::vector<Column> m_columns;
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace hickoryknot
