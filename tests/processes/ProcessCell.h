#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/HttpMessage.h"
#include "processes/ChildProcess.h"

namespace hickoryknot {

/// A cell of host processes in three zones a, b and c on loopback, with simulated workers, backend servers and links
/// between the zones. Hosts are named a1, a2, b1 and so on.
class ProcessCell {
public:
    ProcessCell(size_t hostsPerZone, size_t workersPerZone, size_t serversPerZone, std::vector<std::string> workerFlags,
        std::vector<std::string> serverFlags);
    ~ProcessCell();

    void startAll();
    void startHost(const std::string& host);
    /// Kills a host and waits for its exit.
    void killHost(const std::string& host);
    /// Requests a graceful shutdown and returns the exit code.
    std::optional<int> stopHost(const std::string& host);
    void signalHost(const std::string& host, int number);
    void eraseData(const std::string& host);
    bool isRunning(const std::string& host);
    /// For a failure message: the processes that have ended, and the last line that each process logged.
    std::string describeProcesses();

    void killWorkers(const std::string& zone);
    void signalWorkers(const std::string& zone, int number);

    /// Discards data leaving a zone, entering it, or both; connections can still be opened.
    void cutLinks(const std::string& zone, bool leaving, bool entering);
    void restoreLinks();

    struct Response {
        int status { 0 };
        nlohmann::json body;
    };
    /// Calls one host, or the first that responds if `host` is empty. Status 0: no response.
    Response call(
        const std::string& host, const std::string& method, const std::string& target, const nlohmann::json& body = {});

    const std::vector<std::string>& hosts() const { return m_hosts; }
    const std::vector<std::string>& zones() const { return m_zones; }
    size_t workersPerZone() const { return m_workersPerZone; }
    size_t serversPerZone() const { return m_serversPerZone; }
    const std::string& folder() const { return m_folder; }

private:
    void sendLinkCommand(const std::string& pair, const std::string& command);
    std::string hostsSetting(const std::string& zone) const;
    std::string entriesOf(const std::string& zone) const;
    void startStandIns(
        const std::string& kind, const std::string& zone, size_t count, const std::vector<std::string>& flags);

    std::vector<std::string> m_zones { "a", "b", "c" };
    std::vector<std::string> m_hosts;
    size_t m_workersPerZone;
    size_t m_serversPerZone;
    std::vector<std::string> m_workerFlags;
    std::vector<std::string> m_serverFlags;
    std::string m_folder;
    std::map<std::string, uint16_t> m_ports;
    /// Ports of the links through which a zone reaches a host of another zone: "a>b1".
    std::map<std::string, uint16_t> m_linkPorts;
    /// Control ports of the links from one zone to another: "a>b".
    std::map<std::string, uint16_t> m_controlPorts;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
};

} // namespace hickoryknot
