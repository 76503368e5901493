#include "report/TextTable.h"

#include <algorithm>

#include "core/Assert.h"

namespace hickoryknot {

namespace {

// Code points: every byte that does not continue one.
size_t widthOf(const std::string& text)
{
    return static_cast<size_t>(
        std::ranges::count_if(text, [](char c) { return (static_cast<unsigned char>(c) & 0xC0) != 0x80; }));
}

std::string withoutControls(std::string text)
{
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; }, '?');
    return text;
}

void appendCell(std::string& line, const std::string& cell, size_t width, TextAlign align)
{
    const std::string blanks(width - widthOf(cell), ' ');
    line += align == TextAlign::Right ? blanks + cell : cell + blanks;
}

// Ends a line without trailing blanks.
void endLine(std::string& text, std::string line)
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
        cell = withoutControls(std::move(cell));
    m_rows.push_back(std::move(cells));
}

std::string TextTable::render() const
{
    std::vector<size_t> widths;
    for (size_t i = 0; i < m_columns.size(); ++i) {
        size_t width = widthOf(m_columns[i].title);
        for (const auto& row : m_rows)
            width = std::max(width, widthOf(row[i]));
        widths.push_back(width);
    }

    std::string header;
    std::string rule;
    for (size_t i = 0; i < m_columns.size(); ++i) {
        const char* gap = i ? "  " : "";
        header += gap;
        rule += gap;
        appendCell(header, m_columns[i].title, widths[i], m_columns[i].align);
        rule += std::string(widths[i], '-');
    }
    std::string text;
    endLine(text, std::move(header));
    endLine(text, std::move(rule));
    for (const auto& row : m_rows) {
        std::string line;
        for (size_t i = 0; i < m_columns.size(); ++i) {
            line += i ? "  " : "";
            appendCell(line, row[i], widths[i], m_columns[i].align);
        }
        endLine(text, std::move(line));
    }
    return text;
}

} // namespace hickoryknot
