#pragma once

#include <memory>
#include <optional>
#include <sstream>
#include <string>

#include "consensus/LogCluster.h"

namespace hickoryknot {

/// Runs a scenario file against a replicated log. A file has one command per line; the first line is a comment that
/// names the failure it guards against, the second gives the seed. See tests/scenarios/README.md for the commands.
class ScenarioRunner {
public:
    /// The first line that failed and the reason; empty on success.
    std::optional<std::string> run(const std::string& path);

private:
    std::optional<std::string> execute(const std::string& command, std::istringstream& words);
    std::optional<std::string> expect(std::istringstream& words);
    std::optional<std::string> proposeAndWait(std::istringstream& words);
    bool evaluateCondition(const std::string& what, std::istringstream& words);
    void changeMember(const std::string& command, const HostId&, bool isVoter);
    HostId readHost(std::istringstream& words) const;

    uint64_t m_seed { 0 };
    std::unique_ptr<LogCluster> m_cluster;
    std::optional<HostId> m_notedLeader; // Set by "note leader"; other commands name it "noted".
};

} // namespace hickoryknot
