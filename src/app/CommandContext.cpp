#include "app/CommandContext.h"

#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "core/Outcome.h"
#include "protocol/ErrorCodec.h"
#include "report/TextTable.h"

namespace hickoryknot {

namespace {

ExitCode exitCodeOfKind(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Done:
    case OutcomeKind::Accepted:
        return ExitCode::Success;
    case OutcomeKind::NotRun:
        return ExitCode::NotRun;
    case OutcomeKind::Refused:
        return ExitCode::Refused;
    case OutcomeKind::Cancelled:
        return ExitCode::Cancelled;
    case OutcomeKind::Unknown:
        return ExitCode::Unknown;
    }
    return ExitCode::Failure;
}

ExitCode exitCodeOfError(const Error& error)
{
    switch (error.code) {
    case ErrorCode::InvalidArgument:
    case ErrorCode::TooLarge:
        return ExitCode::Usage;
    case ErrorCode::Conflict:
        return ExitCode::Conflict;
    default:
        return ExitCode::Failure;
    }
}

std::string cellText(const nlohmann::json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    if (value.is_null())
        return "-";
    return value.dump();
}

} // namespace

CommandContext::CommandContext(const cxxopts::ParseResult& flags, std::vector<Endpoint> entryHosts)
    : m_flags(flags)
    , m_wantsJson(flags.count("json") > 0)
    , m_api(std::move(entryHosts))
{
}

const std::vector<std::string>& CommandContext::arguments() const { return m_flags.unmatched(); }

std::optional<nlohmann::json> CommandContext::call(
    const std::string& method, const std::string& target, const std::string& body, Duration deadline, bool isIdempotent)
{
    auto response = m_api.call(method, target, body, deadline, isIdempotent);
    if (!response) {
        std::cerr << "hickoryknot: " << response.error().message << '\n';
        m_exitCode = ExitCode::Failure;
        return std::nullopt;
    }
    if (response->status >= 400) {
        const Error error = decodeError(response->body);
        std::cerr << "hickoryknot: " << error.message << " (" << errorCodeName(error.code) << ")\n";
        m_exitCode = exitCodeOfError(error);
        return std::nullopt;
    }
    auto document = nlohmann::json::parse(response->body, nullptr, false);
    if (document.is_discarded()) {
        std::cerr << "hickoryknot: the entry host's answer is not JSON\n";
        m_exitCode = ExitCode::Failure;
        return std::nullopt;
    }
    return document;
}

std::optional<nlohmann::json> CommandContext::get(const std::string& target)
{
    return call("GET", target, "", 30s, true);
}

ExitCode CommandContext::printOutcome(const nlohmann::json& outcome) const
{
    const std::string name = outcome.value("outcome", "");
    if (m_wantsJson) {
        std::cout << outcome.dump(2) << '\n';
    } else {
        const std::string sentence = outcome.value("sentence", "");
        std::cout << name << (sentence.empty() ? "" : ": ") << sentence << '\n';
        if (const std::string answer = outcome.value("answer", ""); !answer.empty())
            std::cout << answer << '\n';
    }
    return exitCodeOf(outcome);
}

ExitCode CommandContext::exitCodeOf(const nlohmann::json& outcome)
{
    const auto kind = parseOutcomeKind(outcome.value("outcome", ""));
    return kind ? exitCodeOfKind(*kind) : ExitCode::Failure;
}

void CommandContext::printList(
    const nlohmann::json& document, const std::string& key, const std::vector<std::string>& columns) const
{
    if (m_wantsJson) {
        std::cout << document.dump(2) << '\n';
        return;
    }
    std::vector<TextTable::Column> titles;
    titles.reserve(columns.size());
    for (const auto& column : columns)
        titles.push_back({ column, TextAlign::Left });
    TextTable table(std::move(titles));
    for (const auto& item : document.at(key)) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const auto& column : columns)
            cells.push_back(item.contains(column) ? cellText(item[column]) : "-");
        table.addRow(std::move(cells));
    }
    std::cout << table.render();
}

ExitCode CommandContext::usage(const std::string& sentence)
{
    std::cerr << "hickoryknot: " << sentence << "; see hickoryknot --help\n";
    return ExitCode::Usage;
}

} // namespace hickoryknot
