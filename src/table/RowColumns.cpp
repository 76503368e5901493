#include "table/RowColumns.h"

#include <array>
#include <charconv>
#include <fmt/format.h>

namespace hickoryknot {

namespace {

// One week: work that may wait longer belongs in another class.
constexpr int64_t maxWaitMs = 7LL * 24 * 3600 * 1000;
// Ten times the design size of a cell in each dimension.
constexpr int64_t maxQuotaMillicores = 1'000'000'000;
constexpr int64_t maxQuotaMebibytes = 4'000'000'000;
constexpr int64_t maxQuotaAccelerators = 100'000;

int64_t toNumber(uint32_t value) { return value; }
int64_t toNumber(Duration value) { return value / 1ms; }
template <typename Tag> int64_t toNumber(Quantity<Tag> value) { return value.count(); }

void assign(uint32_t& target, int64_t value) { target = static_cast<uint32_t>(value); }
void assign(Duration& target, int64_t value) { target = value * 1ms; }
template <typename Tag> void assign(Quantity<Tag>& target, int64_t value) { target = Quantity<Tag>(value); }

Expected<void> invalidValue(std::string_view text, const std::string& allowed)
{
    return makeError(ErrorCode::InvalidArgument, fmt::format("'{}' is not allowed; allowed: {}", text, allowed));
}

// The member at the end of a path of member pointers.
template <auto... path> auto& memberOf(Row& row) { return (row.*....*path); }
template <auto... path> const auto& memberOf(const Row& row) { return (row.*....*path); }

template <auto... path> std::string formatNumber(const Row& row)
{
    return std::to_string(toNumber(memberOf<path...>(row)));
}

template <int64_t min, int64_t max, auto... path> Expected<void> parseNumber(Row& row, std::string_view text)
{
    int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = failure == std::errc() && end == text.data() + text.size();
    if (!isWhole || value < min || value > max)
        return invalidValue(text, fmt::format("whole numbers from {} to {}", min, max));
    assign(memberOf<path...>(row), value);
    return {};
}

template <auto member> std::string formatBoolean(const Row& row) { return row.*member ? "true" : "false"; }

template <auto member> Expected<void> parseBoolean(Row& row, std::string_view text)
{
    if (text != "true" && text != "false")
        return invalidValue(text, "true, false");
    row.*member = text == "true";
    return {};
}

// Names of the two values of an enumeration.
struct EnumTexts {
    const char* first;
    const char* second;
};
constexpr EnumTexts kindTexts { .first = "class", .second = "team" };
constexpr EnumTexts placementTexts { .first = "spread", .second = "pack" };
constexpr EnumTexts cutOffTexts { .first = "keep", .second = "stop" };

template <auto member, const EnumTexts& texts> std::string formatEnum(const Row& row)
{
    return static_cast<int>(row.*member) == 0 ? texts.first : texts.second;
}

template <auto member, const EnumTexts& texts> Expected<void> parseEnum(Row& row, std::string_view text)
{
    if (text != texts.first && text != texts.second)
        return invalidValue(text, fmt::format("{}, {}", texts.first, texts.second));
    using Enum = std::remove_reference_t<decltype(row.*member)>;
    row.*member = text == texts.first ? Enum { 0 } : Enum { 1 };
    return {};
}

std::string formatName(const Row& row) { return row.name.value(); }

Expected<void> parseName(Row& row, std::string_view text)
{
    if (!RowName::isValid(text))
        return invalidValue(text, "1 to 128 letters, digits and ._:-");
    row.name = RowName(std::string(text));
    return {};
}

std::string formatMinute(uint16_t minute) { return fmt::format("{:02}:{:02}", minute / 60, minute % 60); }

std::string formatHours(const Row& row)
{
    if (row.hours.startMinute == row.hours.endMinute)
        return "always";
    return formatMinute(row.hours.startMinute) + "-" + formatMinute(row.hours.endMinute);
}

// Parses `HH:MM` to minutes since midnight; -1 if malformed.
int parseMinute(std::string_view text)
{
    constexpr std::string_view digits = "0123456789";
    if (text.size() != 5 || text[2] != ':')
        return -1;
    for (const size_t at : { 0, 1, 3, 4 }) {
        if (digits.find(text[at]) == std::string_view::npos)
            return -1;
    }
    const int hour = (text[0] - '0') * 10 + (text[1] - '0');
    const int minute = (text[3] - '0') * 10 + (text[4] - '0');
    return hour < 24 && minute < 60 ? hour * 60 + minute : -1;
}

Expected<void> parseHours(Row& row, std::string_view text)
{
    if (text == "always") {
        row.hours = {};
        return {};
    }
    const bool isWellFormed = text.size() == 11 && text[5] == '-';
    const int start = isWellFormed ? parseMinute(text.substr(0, 5)) : -1;
    const int end = isWellFormed ? parseMinute(text.substr(6)) : -1;
    if (start < 0 || end < 0 || start == end)
        return invalidValue(text, "always, or HH:MM-HH:MM with two different times");
    row.hours = { .startMinute = static_cast<uint16_t>(start), .endMinute = static_cast<uint16_t>(end) };
    return {};
}

constexpr std::array<RowColumn, 18> columns { {
    { "name", ColumnType::Text, "", "1 to 128 letters, digits and ._:-",
        "Names the row; requests and jobs name a class, jobs also name a team.", formatName, parseName },
    { "kind", ColumnType::Text, "", "class, team", "A class steers work that names it; a team row holds a quota.",
        formatEnum<&Row::kind, kindTexts>, parseEnum<&Row::kind, kindTexts> },
    { "weight", ColumnType::Number, "shares", "1 to 1000",
        "Share of turns and free capacity relative to the other rows when there is not enough for all.",
        formatNumber<&Row::weight>, parseNumber<1, 1000, &Row::weight> },
    { "priority", ColumnType::Number, "", "0 to 100", "Work of a higher number goes first.",
        formatNumber<&Row::priority>, parseNumber<0, 100, &Row::priority> },
    { "repeatable", ColumnType::Boolean, "", "true, false",
        "Whether work may be started again after it may have run; a request or job may say otherwise for itself.",
        formatBoolean<&Row::isRepeatable>, parseBoolean<&Row::isRepeatable> },
    { "targetWaitMs", ColumnType::Number, "ms", "1 to 604800000",
        "Waiting time before start that the class should keep; the burn report measures against it.",
        formatNumber<&Row::targetWait>, parseNumber<1, maxWaitMs, &Row::targetWait> },
    { "waitBoundMs", ColumnType::Number, "ms", "1 to 604800000",
        "A request that has waited this long is answered not run.", formatNumber<&Row::waitBound>,
        parseNumber<1, maxWaitMs, &Row::waitBound> },
    { "queueBound", ColumnType::Number, "requests", "0 to 100000",
        "Requests that may wait on one entry host; further ones are answered not run at once.",
        formatNumber<&Row::queueBound>, parseNumber<0, 100000, &Row::queueBound> },
    { "maxRunning", ColumnType::Number, "tasks", "0 to 1000000",
        "Tasks and requests that may run at once in the cell; 0 means no limit.", formatNumber<&Row::maxRunning>,
        parseNumber<0, 1000000, &Row::maxRunning> },
    { "retryBudgetPercent", ColumnType::Number, "percent", "0 to 100",
        "Retries allowed as a percentage of first attempts.", formatNumber<&Row::retryBudgetPercent>,
        parseNumber<0, 100, &Row::retryBudgetPercent> },
    { "hours", ColumnType::Text, "UTC", "always, or HH:MM-HH:MM",
        "Time of the day in which work may start; may pass midnight.", formatHours, parseHours },
    { "placement", ColumnType::Text, "", "spread, pack",
        "Spread puts tasks on many workers and racks; pack fills few workers.",
        formatEnum<&Row::placement, placementTexts>, parseEnum<&Row::placement, placementTexts> },
    { "cutOff", ColumnType::Text, "", "keep, stop",
        "What happens to work in a zone that is cut off: keep goes on there, stop ends there and may start elsewhere.",
        formatEnum<&Row::cutOff, cutOffTexts>, parseEnum<&Row::cutOff, cutOffTexts> },
    { "preemptible", ColumnType::Boolean, "", "true, false",
        "Whether tasks may be stopped for urgent work and started again later.", formatBoolean<&Row::isPreemptible>,
        parseBoolean<&Row::isPreemptible> },
    { "urgent", ColumnType::Boolean, "", "true, false",
        "Whether work starts within 8 s, at the cost of preemptible work if need be.", formatBoolean<&Row::isUrgent>,
        parseBoolean<&Row::isUrgent> },
    { "quotaMillicores", ColumnType::Number, "millicores", "0 to 1000000000",
        "Processors that all running tasks of a team may use together; 0 means no limit.",
        formatNumber<&Row::quota, &Resources::millicores>,
        parseNumber<0, maxQuotaMillicores, &Row::quota, &Resources::millicores> },
    { "quotaMebibytes", ColumnType::Number, "MiB", "0 to 4000000000",
        "Memory that all running tasks of a team may use together; 0 means no limit.",
        formatNumber<&Row::quota, &Resources::mebibytes>,
        parseNumber<0, maxQuotaMebibytes, &Row::quota, &Resources::mebibytes> },
    { "quotaAccelerators", ColumnType::Number, "accelerators", "0 to 100000",
        "Accelerators that all running tasks of a team may use together; 0 means no limit.",
        formatNumber<&Row::quota, &Resources::accelerators>,
        parseNumber<0, maxQuotaAccelerators, &Row::quota, &Resources::accelerators> },
} };

Expected<void> invalidRow(const Row& row, const std::string& message)
{
    return makeError(ErrorCode::InvalidArgument, fmt::format("row '{}': {}", row.name.value(), message));
}

} // namespace

std::span<const RowColumn> rowColumns() { return columns; }

const RowColumn* findRowColumn(std::string_view name)
{
    for (const auto& column : columns) {
        if (column.name == name)
            return &column;
    }
    return nullptr;
}

Expected<void> checkRow(const Row& row)
{
    // Validates each value through the parser of its column, since not all rows are parsed from text.
    for (const auto& column : columns) {
        Row copy;
        if (const auto parsed = column.parse(copy, column.format(row)); !parsed)
            return invalidRow(row, fmt::format("column {}: {}", column.name, parsed.error().message));
    }
    if (row.waitBound < row.targetWait)
        return invalidRow(row,
            fmt::format("waitBoundMs {} is below targetWaitMs {}, so work would be turned away before it is late",
                row.waitBound / 1ms, row.targetWait / 1ms));
    if (row.isUrgent && row.isPreemptible)
        return invalidRow(row, "urgent and preemptible are both true, so the row would stop its own work");
    if (row.kind == RowKind::Class && row.quota != Resources {})
        return invalidRow(row, "only rows of kind team have a quota");
    return {};
}

} // namespace hickoryknot
