#include "table/TableJson.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

#include "table/RowColumns.h"

namespace hickoryknot {

namespace {

using Json = nlohmann::ordered_json;

// Limit on `changedBy`, which is shown to other operators.
constexpr size_t maxOperatorNameBytes = 128;

auto invalidArgument(std::string message) { return makeError(ErrorCode::InvalidArgument, std::move(message)); }

Json columnToJson(const Row& row, const RowColumn& column)
{
    const auto text = column.format(row);
    if (column.type == ColumnType::Number)
        return std::stoll(text);
    if (column.type == ColumnType::Boolean)
        return text == "true";
    return text;
}

Json rowToJson(const Row& row)
{
    Json object = Json::object();
    for (const auto& column : rowColumns())
        object[std::string(column.name)] = columnToJson(row, column);
    return object;
}

bool hasType(const Json& value, ColumnType type)
{
    switch (type) {
    case ColumnType::Number:
        return value.is_number_integer();
    case ColumnType::Boolean:
        return value.is_boolean();
    case ColumnType::Text:
        return value.is_string();
    }
    return false;
}

const char* typeName(ColumnType type)
{
    switch (type) {
    case ColumnType::Number:
        return "a whole number";
    case ColumnType::Boolean:
        return "true or false";
    case ColumnType::Text:
        return "a text";
    }
    return "";
}

Expected<void> setColumn(Row& row, const std::string& name, const Json& value)
{
    const RowColumn* column = findRowColumn(name);
    if (!column)
        return invalidArgument(fmt::format("row '{}': unknown column '{}'", row.name.value(), name));
    if (!hasType(value, column->type))
        return invalidArgument(
            fmt::format("row '{}', column {}: {} is expected", row.name.value(), name, typeName(column->type)));
    const auto text = value.is_string() ? value.get<std::string>() : value.dump();
    if (const auto parsed = column->parse(row, text); !parsed)
        return invalidArgument(fmt::format("row '{}', column {}: {}", row.name.value(), name, parsed.error().message));
    return {};
}

Expected<RowName> readName(const Json& value)
{
    if (!value.is_string() || !RowName::isValid(value.get_ref<const std::string&>()))
        return invalidArgument("a row's name must be 1 to 128 letters, digits and ._:-");
    return RowName(value.get<std::string>());
}

const Row* findExisting(const Table* base, const RowName& name)
{
    if (!base)
        return nullptr;
    const Row* row = base->find(RowKind::Class, name);
    return row ? row : base->find(RowKind::Team, name);
}

// Missing columns keep the values of the row in `base`, or have their defaults.
Expected<Row> readRow(const Json& object, const Table* base)
{
    if (!object.is_object() || !object.contains("name"))
        return invalidArgument("a row must be an object with a name");
    auto name = readName(object["name"]);
    if (!name)
        return tl::unexpected(name.error());
    const Row* existing = findExisting(base, *name);
    Row row = existing ? *existing : Row {};
    row.name = std::move(*name);
    for (const auto& [column, value] : object.items()) {
        if (const auto set = setColumn(row, column, value); !set)
            return tl::unexpected(set.error());
    }
    if (const auto checked = checkRow(row); !checked)
        return tl::unexpected(checked.error());
    return row;
}

Expected<void> readRows(const Json& list, const Table& base, TableChange& change)
{
    for (const auto& object : list) {
        auto row = readRow(object, &base);
        if (!row)
            return tl::unexpected(row.error());
        change.rows.push_back(std::move(*row));
    }
    return {};
}

Expected<void> readRemoved(const Json& list, TableChange& change)
{
    for (const auto& value : list) {
        auto name = readName(value);
        if (!name)
            return tl::unexpected(name.error());
        change.removed.push_back(std::move(*name));
    }
    return {};
}

// InvalidArgument: an unknown or missing field, or a field of the wrong type.
Expected<void> checkChangeFields(const Json& object)
{
    if (!object.is_object())
        return invalidArgument("a table change must be a JSON object");
    for (const auto& [name, value] : object.items()) {
        const bool isKnown = name == "baseVersion"       ? value.is_number_unsigned()
            : name == "requestId" || name == "changedBy" ? value.is_string()
            : name == "rows" || name == "remove"         ? value.is_array()
                                                         : false;
        if (!isKnown)
            return invalidArgument(fmt::format("field '{}' is unknown or has the wrong type", name));
        if (value.is_array() && value.size() > Table::maxRows)
            return makeError(ErrorCode::TooLarge, fmt::format("'{}' has more than {} entries", name, Table::maxRows));
    }
    if (!object.contains("baseVersion") || !object.contains("requestId"))
        return invalidArgument("baseVersion and requestId are required");
    if (!RequestId::isValid(object["requestId"].get_ref<const std::string&>()))
        return invalidArgument("requestId must be 1 to 128 letters, digits and ._:-");
    if (object.contains("changedBy") && object["changedBy"].get_ref<const std::string&>().size() > maxOperatorNameBytes)
        return makeError(ErrorCode::TooLarge, fmt::format("changedBy is longer than {} bytes", maxOperatorNameBytes));
    return {};
}

// Rejects duplicate fields, because JSON parsers disagree on which value to use.
Expected<Json> parseObject(std::string_view text)
{
    std::vector<std::set<std::string>> keys;
    std::string duplicate;
    const auto check = [&](int, Json::parse_event_t event, Json& parsed) {
        if (event == Json::parse_event_t::object_start)
            keys.emplace_back();
        else if (event == Json::parse_event_t::object_end)
            keys.pop_back();
        else if (event == Json::parse_event_t::key && !keys.back().insert(parsed.get<std::string>()).second)
            duplicate = parsed.get<std::string>();
        return true;
    };
    auto json = Json::parse(text, check, false);
    if (json.is_discarded())
        return invalidArgument("the text is not valid JSON");
    if (!duplicate.empty())
        return invalidArgument(fmt::format("field '{}' appears twice", duplicate));
    return json;
}

} // namespace

std::string formatRowJson(const Row& row) { return rowToJson(row).dump(); }

std::string formatTableJson(uint64_t version, const std::vector<Row>& rows)
{
    Json list = Json::array();
    for (const auto& row : rows)
        list.push_back(rowToJson(row));
    return Json { { "version", version }, { "rows", std::move(list) } }.dump();
}

Expected<Row> parseRowJson(std::string_view text)
{
    const auto json = parseObject(text);
    if (!json)
        return tl::unexpected(json.error());
    return readRow(*json, nullptr);
}

Expected<TableChange> parseTableChangeJson(std::string_view text, const Table& base)
{
    const auto json = parseObject(text);
    if (!json)
        return tl::unexpected(json.error());
    if (const auto checked = checkChangeFields(*json); !checked)
        return tl::unexpected(checked.error());
    TableChange change { .baseVersion = (*json)["baseVersion"].get<uint64_t>(),
        .request = RequestId((*json)["requestId"].get<std::string>()),
        .changedBy = json->value("changedBy", "an operator who gave no name"),
        .rows = {},
        .removed = {} };
    if (const auto rows = readRows(json->value("rows", Json::array()), base, change); !rows)
        return tl::unexpected(rows.error());
    if (const auto removed = readRemoved(json->value("remove", Json::array()), change); !removed)
        return tl::unexpected(removed.error());
    return change;
}

std::string formatTableChangeResultJson(const TableChangeResult& result, const std::vector<std::string>& changes)
{
    Json json { { "accepted", result.isAccepted }, { "version", result.version }, { "sentence", result.message },
        { "changes", changes } };
    if (!result.reason.empty())
        json["reason"] = result.reason;
    if (!result.wonBy.empty()) {
        json["wonBy"] = result.wonBy;
        json["wonByRequest"] = result.wonByRequest.value();
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace hickoryknot
