#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "app/ApiClient.h"
#include "app/Commands.h"

namespace cxxopts {
class Options;
class ParseResult;
} // namespace cxxopts

namespace hickoryknot {

/// Context shared by the commands of operators and callers: flags, entry hosts, and output as text or JSON.
class CommandContext {
public:
    explicit CommandContext(const cxxopts::ParseResult& flags, std::vector<Endpoint> entryHosts);

    const cxxopts::ParseResult& flags() const { return m_flags; }
    const std::vector<std::string>& arguments() const;
    bool wantsJson() const { return m_wantsJson; }
    ApiClient& api() { return m_api; }

    /// Calls an entry host. On an error, prints it, sets `exitCode()` and returns nothing.
    std::optional<nlohmann::json> call(const std::string& method, const std::string& target, const std::string& body,
        Duration deadline, bool isIdempotent);
    std::optional<nlohmann::json> get(const std::string& target);

    /// Prints an outcome and returns its exit code.
    ExitCode printOutcome(const nlohmann::json& outcome) const;

    /// Returns the exit code for an outcome.
    static ExitCode exitCodeOf(const nlohmann::json& outcome);

    /// Prints `document` as JSON, or the list under `key` as a table with these columns.
    void printList(
        const nlohmann::json& document, const std::string& key, const std::vector<std::string>& columns) const;

    /// Prints a usage error and returns its exit code.
    static ExitCode usage(const std::string& sentence);

    ExitCode exitCode() const { return m_exitCode; }

private:
    const cxxopts::ParseResult& m_flags;
    bool m_wantsJson { false };
    ApiClient m_api;
    ExitCode m_exitCode { ExitCode::Success };
};

} // namespace hickoryknot
