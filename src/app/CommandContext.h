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

/// What the operators' and callers' commands share: the flags, the entry hosts and the two forms of output.
class CommandContext {
public:
    explicit CommandContext(const cxxopts::ParseResult& flags, std::vector<Endpoint> entryHosts);

    const cxxopts::ParseResult& flags() const { return m_flags; }
    const std::vector<std::string>& arguments() const;
    bool wantsJson() const { return m_wantsJson; }
    ApiClient& api() { return m_api; }

    /// Calls an entry host and prints the error if there is one. Empty: the error has been printed and `exitCode()`
    /// set.
    std::optional<nlohmann::json> call(const std::string& method, const std::string& target, const std::string& body,
        Duration deadline, bool isIdempotent);
    std::optional<nlohmann::json> get(const std::string& target);

    /// Prints an outcome and returns the exit code that stands for it.
    ExitCode printOutcome(const nlohmann::json& outcome) const;

    /// The exit code that stands for an outcome.
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
