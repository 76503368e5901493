#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "processes/ProcessCell.h"

namespace hickoryknot {

/// Runs a scenario file against real processes. One command per line; tests/scenarios/processes/README.md lists them.
/// Waits are on conditions; their timeout only ends a test that hangs.
class ProcessScenario {
public:
    /// Returns the first line that failed and the reason; empty on success.
    std::optional<std::string> run(const std::string& path);

private:
    using Words = std::istringstream;
    using Failure = std::optional<std::string>;
    using Command = Failure (ProcessScenario::*)(Words&);
    static const std::map<std::string, Command> commands;

    Failure cell(Words&);
    Failure note(Words&);
    Failure start(Words&);
    Failure kill(Words&);
    Failure stop(Words&);
    Failure pause(Words&);
    Failure resume(Words&);
    Failure erase(Words&);
    Failure hold(Words&);
    Failure cut(Words&);
    Failure heal(Words&);
    Failure workers(Words&);
    Failure table(Words&);
    Failure race(Words&);
    Failure changes(Words&);
    Failure submit(Words&);
    Failure resubmit(Words&);
    Failure cancel(Words&);
    Failure request(Words&);
    Failure await(Words&);
    Failure expect(Words&);

    bool waitFor(const std::function<bool()>& condition);
    bool isReady();
    bool isCellReady(const std::string& host);
    std::string resolveHost(const std::string& word) const;
    nlohmann::json readFields(Words&) const;
    Failure submitBody(const std::string& name, const nlohmann::json& body, const std::string& host);
    nlohmann::json jobStatus(const std::string& name, const std::string& host = {});
    Failure expectNoConcurrentRuns();
    Failure expectStartsAtMostOnce();
    bool hasTableValue(const std::string& row, const std::string& column, const std::string& value);

    std::unique_ptr<ProcessCell> m_cell;
    std::string m_notedHost;
    std::map<std::string, nlohmann::json> m_bodies;
    std::map<std::string, std::string> m_jobs;
    std::map<std::string, std::string> m_outcomes;
    std::set<std::string> m_nonRepeatableRequests;
    uint64_t m_lastVersion { 0 };
};

} // namespace hickoryknot
