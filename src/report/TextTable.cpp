#include "report/TextTable.h"

#include <algorithm>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

// Number of UTF-8 code points: all bytes except continuation bytes.
size_t displayWidth(const std::string& text)
{
    return static_cast<size_t>(
        std::ranges::count_if(text, [](char c) { return (static_cast<unsigned char>(c) & 0xC0) != 0x80; }));
}

std::string replaceControls(std::string text)
{
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; }, '?');
    return text;
}

void appendCell(std::string& line, const std::string& cell, size_t width, TextAlign align)
{
    const std::string blanks(width - displayWidth(cell), ' ');
    line += align == TextAlign::Right ? blanks + cell : cell + blanks;
}

// Appends a line without trailing blanks.
void appendLine(std::string& text, std::string line)
{
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
}

} // namespace

TextTable::TextTable(std::vector<Column> columns)
    : m_columns(std::move(columns))
{
}

void TextTable::addRow(std::vector<std::string> cells)
{
    HICKORYKNOT_ASSERT(cells.size() <= m_columns.size(), "a row has at most one cell for each column");
    cells.resize(m_columns.size());
    for (std::string& cell : cells)
        cell = replaceControls(std::move(cell));
    m_rows.push_back(std::move(cells));
}

std::string TextTable::render() const
{
    std::vector<size_t> widths;
    for (size_t i = 0; i < m_columns.size(); ++i) {
        size_t width = displayWidth(m_columns[i].title);
        for (const auto& row : m_rows)
            width = std::max(width, displayWidth(row[i]));
        widths.push_back(width);
    }

    std::string header;
    std::string separator;
    for (size_t i = 0; i < m_columns.size(); ++i) {
        const char* gap = i ? "  " : "";
        header += gap;
        separator += gap;
        appendCell(header, m_columns[i].title, widths[i], m_columns[i].align);
        separator += std::string(widths[i], '-');
    }
    std::string text;
    appendLine(text, std::move(header));
    appendLine(text, std::move(separator));
    for (const auto& row : m_rows) {
        std::string line;
        for (size_t i = 0; i < m_columns.size(); ++i) {
            line += i ? "  " : "";
            appendCell(line, row[i], widths[i], m_columns[i].align);
        }
        appendLine(text, std::move(line));
    }
    return text;
}

} // namespace hickoryknot
