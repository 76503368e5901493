#include "app/TableCommands.h"

#include <array>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "app/CommandContext.h"
#include "app/SteadyTime.h"
#include "table/RowColumns.h"
#include "table/TableCsv.h"
#include "table/TableJson.h"

namespace hickoryknot {

namespace {

/// The response to a change takes at most until the table leases of silent hosts have expired.
constexpr Duration setDeadline = 15s;

std::string makeChangeId()
{
    const auto microseconds = wallNow().time_since_epoch().count();
    return "operator-" + std::to_string(microseconds / 1000) + "-" + std::to_string(microseconds % 1000);
}

std::string operatorName(const CommandContext& context)
{
    if (context.flags().count("operator"))
        return context.flags()["operator"].as<std::string>();
    const char* user = std::getenv("USER");
    return user && RowName::isValid(user) ? user : "operator";
}

/// Creates a change without rows. Without --base, it is based on the current version.
std::optional<nlohmann::json> makeChange(CommandContext& context)
{
    const auto& flags = context.flags();
    nlohmann::json change;
    if (flags.count("base")) {
        change["baseVersion"] = flags["base"].as<uint64_t>();
    } else {
        const auto table = context.get("/v1/table");
        if (!table)
            return std::nullopt;
        change["baseVersion"] = table->at("version");
    }
    change["requestId"] = flags.count("request-id") ? flags["request-id"].as<std::string>() : makeChangeId();
    change["changedBy"] = operatorName(context);
    change["rows"] = nlohmann::json::array();
    change["remove"] = nlohmann::json::array();
    return change;
}

/// Prints the effects of a checked or accepted change and the hosts that have not applied it.
ExitCode printChange(const CommandContext& context, const nlohmann::json& result)
{
    if (context.wantsJson()) {
        std::cout << result.dump(2) << '\n';
    } else {
        if (result.contains("sentence"))
            std::cout << result.value("sentence", "") << '\n';
        for (const auto& sentence : result.value("changes", nlohmann::json::array()))
            std::cout << "- " << sentence.get<std::string>() << '\n';
        for (const auto& host : result.value("notApplied", nlohmann::json::array()))
            std::cout << "not yet in force on " << host.dump() << '\n';
    }
    return result.value("accepted", true) ? ExitCode::Success : ExitCode::Conflict;
}

ExitCode sendChange(CommandContext& context, const nlohmann::json& change, const std::string& target)
{
    const auto result = context.call("POST", target, change.dump(), setDeadline, true);
    return result ? printChange(context, *result) : context.exitCode();
}

/// Reads `ROW column=value ...` into a row object.
Expected<nlohmann::json> parseAssignments(const std::vector<std::string>& arguments)
{
    nlohmann::json row { { "name", arguments[1] } };
    for (size_t i = 2; i < arguments.size(); ++i) {
        const size_t equals = arguments[i].find('=');
        const std::string name = arguments[i].substr(0, equals);
        const auto* column = findRowColumn(name);
        if (equals == std::string::npos || !column)
            return makeError(
                ErrorCode::InvalidArgument, "'" + arguments[i] + "' is not column=value with a column of the table");
        const std::string text = arguments[i].substr(equals + 1);
        if (column->type == ColumnType::Text) {
            row[name] = text;
            continue;
        }
        auto value = nlohmann::json::parse(text == "yes" ? "true" : text == "no" ? "false" : text, nullptr, false);
        if (value.is_discarded())
            return makeError(ErrorCode::InvalidArgument,
                fmt::format("'{}' is no value for column {}; allowed: {}", text, name, column->range));
        row[name] = std::move(value);
    }
    return row;
}

ExitCode getTable(CommandContext& context)
{
    const auto table = context.get("/v1/table");
    if (!table)
        return context.exitCode();
    if (!context.wantsJson())
        std::cout << "version " << table->at("version") << '\n';
    std::vector<std::string> columns;
    for (const auto& column : rowColumns())
        columns.emplace_back(column.name);
    context.printList(*table, "rows", columns);
    return ExitCode::Success;
}

ExitCode changeRow(CommandContext& context, const std::string& target)
{
    if (context.arguments().size() < 3)
        return CommandContext::usage("table set and table check take a row and at least one column=value");
    const auto row = parseAssignments(context.arguments());
    if (!row)
        return CommandContext::usage(row.error().message);
    auto change = makeChange(context);
    if (!change)
        return context.exitCode();
    change->at("rows").push_back(*row);
    return sendChange(context, *change, target);
}

ExitCode setRow(CommandContext& context) { return changeRow(context, "/v1/table/set"); }

ExitCode checkRowChange(CommandContext& context) { return changeRow(context, "/v1/table/check"); }

ExitCode removeRows(CommandContext& context)
{
    if (context.arguments().size() < 2)
        return CommandContext::usage("table remove takes at least one row");
    auto change = makeChange(context);
    if (!change)
        return context.exitCode();
    for (size_t i = 1; i < context.arguments().size(); ++i)
        change->at("remove").push_back(context.arguments()[i]);
    return sendChange(context, *change, "/v1/table/set");
}

ExitCode exportTable(CommandContext& context)
{
    const auto table = context.get("/v1/table");
    if (!table)
        return context.exitCode();
    std::vector<Row> rows;
    for (const auto& item : table->at("rows")) {
        auto row = parseRowJson(item.dump());
        if (!row) {
            std::cerr << "hickoryknot: " << row.error().message << '\n';
            return ExitCode::Failure;
        }
        rows.push_back(std::move(*row));
    }
    std::cout << formatTableCsv(rows);
    return ExitCode::Success;
}

ExitCode importTable(CommandContext& context)
{
    if (context.arguments().size() != 2)
        return CommandContext::usage("table import takes one CSV file");
    std::ifstream file(context.arguments()[1]);
    if (!file)
        return CommandContext::usage("cannot read " + context.arguments()[1]);
    std::ostringstream text;
    text << file.rdbuf();
    const auto rows = parseTableCsv(text.str());
    if (!rows)
        return CommandContext::usage(rows.error().message);
    auto change = makeChange(context);
    if (!change)
        return context.exitCode();
    for (const auto& row : *rows)
        change->at("rows").push_back(nlohmann::json::parse(formatRowJson(row)));
    return sendChange(context, *change, context.flags().count("dry-run") ? "/v1/table/check" : "/v1/table/set");
}

struct TableSubcommand {
    const char* name;
    ExitCode (*run)(CommandContext&);
};

constexpr std::array subcommands {
    TableSubcommand { "get", getTable },
    TableSubcommand { "set", setRow },
    TableSubcommand { "check", checkRowChange },
    TableSubcommand { "remove", removeRows },
    TableSubcommand { "export", exportTable },
    TableSubcommand { "import", importTable },
};

} // namespace

ExitCode runTableCommand(CommandContext& context)
{
    const std::string name = context.arguments().empty() ? "" : context.arguments()[0];
    for (const auto& candidate : subcommands) {
        if (name == candidate.name)
            return candidate.run(context);
    }
    return CommandContext::usage("table takes get, set, check, remove, export or import");
}

} // namespace hickoryknot
