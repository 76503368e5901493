#include "table/TableCsv.h"

#include <fmt/format.h>
#include <set>

#include "table/RowColumns.h"
#include "table/Table.h"

namespace hickoryknot {

namespace {

// One CSV record with the line number at which it starts.
struct CsvLine {
    size_t number { 1 };
    std::vector<std::string> fields;

    bool isBlank() const { return fields.size() == 1 && fields.front().empty(); }
};

// Tokenizes CSV text; quoted fields may contain commas, quotes and line breaks.
class CsvReader {
public:
    explicit CsvReader(std::string_view text)
        : m_text(text)
    {
    }

    bool isAtEnd() const { return m_position >= m_text.size(); }

    Expected<CsvLine> readLine()
    {
        CsvLine line { .number = m_lineNumber, .fields = {} };
        do {
            auto field = isNext('"') ? readQuoted() : readPlain();
            if (!field)
                return tl::unexpected(field.error());
            line.fields.push_back(std::move(*field));
        } while (consume(','));
        consume('\r');
        if (!isAtEnd() && !consume('\n'))
            return makeError(ErrorCode::InvalidArgument,
                fmt::format("line {}, field {}: text after a closing quote", line.number, line.fields.size()));
        ++m_lineNumber;
        return line;
    }

private:
    bool isNext(char c) const { return !isAtEnd() && m_text[m_position] == c; }
    bool consume(char c)
    {
        const bool matches = isNext(c);
        m_position += matches;
        return matches;
    }

    Expected<std::string> readPlain()
    {
        const size_t end = std::min(m_text.find_first_of(",\r\n", m_position), m_text.size());
        std::string field(m_text.substr(m_position, end - m_position));
        m_position = end;
        return field;
    }

    Expected<std::string> readQuoted()
    {
        const size_t startLine = m_lineNumber;
        std::string field;
        ++m_position;
        while (!isAtEnd()) {
            const char c = m_text[m_position++];
            if (c == '"' && !consume('"'))
                return field;
            m_lineNumber += c == '\n';
            field += c;
        }
        return makeError(ErrorCode::InvalidArgument, fmt::format("line {}: a quote is not closed", startLine));
    }

    std::string_view m_text;
    size_t m_position { 0 };
    size_t m_lineNumber { 1 };
};

Expected<std::vector<const RowColumn*>> readHeader(const CsvLine& line)
{
    std::vector<const RowColumn*> header;
    for (const auto& name : line.fields) {
        const RowColumn* column = findRowColumn(name);
        if (!column)
            return makeError(
                ErrorCode::InvalidArgument, fmt::format("line {}: unknown column '{}'", line.number, name));
        for (const auto* earlier : header) {
            if (earlier == column)
                return makeError(
                    ErrorCode::InvalidArgument, fmt::format("line {}: column '{}' appears twice", line.number, name));
        }
        header.push_back(column);
    }
    if (header.empty() || std::find(header.begin(), header.end(), findRowColumn("name")) == header.end())
        return makeError(ErrorCode::InvalidArgument, fmt::format("line {}: column 'name' is missing", line.number));
    return header;
}

Expected<Row> readRow(const CsvLine& line, const std::vector<const RowColumn*>& header)
{
    if (line.fields.size() != header.size())
        return makeError(ErrorCode::InvalidArgument,
            fmt::format("line {}: {} fields, but the header names {}", line.number, line.fields.size(), header.size()));
    Row row;
    for (size_t i = 0; i < header.size(); ++i) {
        if (const auto parsed = header[i]->parse(row, line.fields[i]); !parsed)
            return makeError(ErrorCode::InvalidArgument,
                fmt::format("line {}, column {}: {}", line.number, header[i]->name, parsed.error().message));
    }
    if (const auto checked = checkRow(row); !checked)
        return makeError(ErrorCode::InvalidArgument, fmt::format("line {}: {}", line.number, checked.error().message));
    return row;
}

} // namespace

std::string formatTableCsv(const std::vector<Row>& rows)
{
    std::string text;
    const auto columns = rowColumns();
    for (const auto& column : columns)
        text += fmt::format("{}{}", column.name, &column == &columns.back() ? "\r\n" : ",");
    // No value can contain a comma, quote or line break, so quoting is not needed.
    for (const auto& row : rows) {
        for (const auto& column : columns)
            text += column.format(row) + (&column == &columns.back() ? "\r\n" : ",");
    }
    return text;
}

Expected<std::vector<Row>> parseTableCsv(std::string_view text)
{
    CsvReader reader(text);
    auto first = reader.readLine();
    if (!first)
        return tl::unexpected(first.error());
    const auto header = readHeader(*first);
    if (!header)
        return tl::unexpected(header.error());

    std::vector<Row> rows;
    std::set<RowName> names;
    while (!reader.isAtEnd()) {
        const auto line = reader.readLine();
        if (!line)
            return tl::unexpected(line.error());
        if (line->isBlank())
            continue;
        auto row = readRow(*line, *header);
        if (!row)
            return tl::unexpected(row.error());
        if (!names.insert(row->name).second)
            return makeError(ErrorCode::InvalidArgument,
                fmt::format("line {}, column name: row '{}' appears twice", line->number, row->name.value()));
        if (rows.size() == Table::maxRows)
            return makeError(ErrorCode::TooLarge, fmt::format("more than {} rows", Table::maxRows));
        rows.push_back(std::move(*row));
    }
    return rows;
}

} // namespace hickoryknot
