#include "processes/ProcessCell.h"

#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

#include "app/ApiClient.h"

namespace hickoryknot {

namespace {

/// Returns free loopback ports. They lie below those from which the system takes the local ports of connections: such
/// a port could be taken by a connection of another process before the host of this cell listens there. Where the
/// search begins depends on the process, so that tests at the same time choose different ones.
std::vector<uint16_t> allocateFreePorts(size_t count)
{
    using boost::asio::ip::tcp;
    constexpr int first = 12'000;
    constexpr int last = 32'000;
    constexpr int portsPerProcess = 64;
    static int next = first + static_cast<int>(getpid()) * portsPerProcess % (last - first);
    boost::asio::io_context context;
    std::vector<uint16_t> ports;
    for (int tried = 0; ports.size() < count && tried < last - first; ++tried) {
        const auto port = static_cast<uint16_t>(next);
        next = next + 1 < last ? next + 1 : first;
        boost::system::error_code error;
        tcp::acceptor acceptor(context);
        acceptor.open(tcp::v4(), error);
        if (!error)
            acceptor.bind({ boost::asio::ip::address_v4::loopback(), port }, error);
        if (!error)
            ports.push_back(port);
    }
    return ports;
}

std::string address(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

std::string zoneOf(const std::string& host) { return host.substr(0, 1); }

} // namespace

ProcessCell::ProcessCell(size_t hostsPerZone, size_t workersPerZone, size_t serversPerZone,
    std::vector<std::string> workerFlags, std::vector<std::string> serverFlags)
    : m_workersPerZone(workersPerZone)
    , m_serversPerZone(serversPerZone)
    , m_workerFlags(std::move(workerFlags))
    , m_serverFlags(std::move(serverFlags))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "hickoryknot-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    for (const auto& zone : m_zones) {
        for (size_t i = 1; i <= hostsPerZone; ++i)
            m_hosts.push_back(zone + std::to_string(i));
    }
    const size_t linkCount = m_hosts.size() * (m_zones.size() - 1) + m_zones.size() * (m_zones.size() - 1);
    auto ports = allocateFreePorts(m_hosts.size() + linkCount);
    const auto next = [&] {
        const uint16_t port = ports.back();
        ports.pop_back();
        return port;
    };
    for (const auto& host : m_hosts)
        m_ports[host] = next();
    for (const auto& from : m_zones) {
        for (const auto& to : m_zones) {
            if (from != to)
                m_controlPorts[from + ">" + to] = next();
        }
        for (const auto& host : m_hosts) {
            if (zoneOf(host) != from)
                m_linkPorts[from + ">" + host] = next();
        }
    }
}

ProcessCell::~ProcessCell()
{
    m_processes.clear();
    std::error_code error;
    std::filesystem::remove_all(m_folder, error);
}

std::string ProcessCell::hostsSetting(const std::string& zone) const
{
    std::string setting;
    for (const auto& host : m_hosts) {
        const uint16_t port = zoneOf(host) == zone ? m_ports.at(host) : m_linkPorts.at(zone + ">" + host);
        setting += (setting.empty() ? "" : ",") + host + "@" + zoneOf(host) + "=" + address(port) + "+disk";
    }
    return setting;
}

std::string ProcessCell::entriesOf(const std::string& zone) const
{
    std::string entries;
    for (const auto& host : m_hosts) {
        if (zoneOf(host) == zone)
            entries += (entries.empty() ? "" : ",") + address(m_ports.at(host));
    }
    return entries;
}

void ProcessCell::startAll()
{
    for (const auto& [pair, control] : m_controlPorts) {
        std::string listen;
        std::string target;
        for (const auto& host : m_hosts) {
            if (zoneOf(host) != pair.substr(2))
                continue;
            listen += (listen.empty() ? "" : ",") + address(m_linkPorts.at(pair.substr(0, 2) + host));
            target += (target.empty() ? "" : ",") + address(m_ports.at(host));
        }
        m_processes["link " + pair] = std::make_unique<ChildProcess>(
            std::vector<std::string> { BINARY_FOLDER "/tests/hickoryknot_standin", "link", "--listen", listen,
                "--target", target, "--control", address(control) },
            m_folder + "/links.log");
    }
    for (const auto& host : m_hosts)
        startHost(host);
    for (const auto& zone : m_zones) {
        startStandIns("worker", zone, m_workersPerZone, m_workerFlags);
        startStandIns("server", zone, m_serversPerZone, m_serverFlags);
    }
}

void ProcessCell::startStandIns(
    const std::string& kind, const std::string& zone, size_t count, const std::vector<std::string>& flags)
{
    if (!count)
        return;
    std::vector<std::string> arguments { BINARY_FOLDER "/tests/hickoryknot_standin", kind, "--entry", entriesOf(zone),
        "--zone", zone, "--id", kind + "-" + zone, "--count", std::to_string(count), "--log",
        m_folder + "/" + kind + "-" + zone + ".tasks" };
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    m_processes[kind + " " + zone]
        = std::make_unique<ChildProcess>(arguments, m_folder + "/" + kind + "-" + zone + ".log");
}

void ProcessCell::startHost(const std::string& host)
{
    m_processes[host] = std::make_unique<ChildProcess>(
        std::vector<std::string> { BINARY_FOLDER "/hickoryknot", "serve", "--host-id", host, "--zone", zoneOf(host),
            "--listen", address(m_ports.at(host)), "--hosts", hostsSetting(zoneOf(host)), "--data",
            m_folder + "/data-" + host, "--drain-bound-ms", "20000" },
        m_folder + "/" + host + ".log");
}

void ProcessCell::killHost(const std::string& host) { m_processes.erase(host); }

std::optional<int> ProcessCell::stopHost(const std::string& host)
{
    auto& process = *m_processes.at(host);
    process.signal(SIGTERM);
    for (int i = 0; i < 1500 && !process.exitCode(); ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return process.exitCode();
}

void ProcessCell::signalHost(const std::string& host, int number) { m_processes.at(host)->signal(number); }

void ProcessCell::eraseData(const std::string& host) { std::filesystem::remove_all(m_folder + "/data-" + host); }

bool ProcessCell::isRunning(const std::string& host)
{
    const auto found = m_processes.find(host);
    return found != m_processes.end() && !found->second->exitCode();
}

std::string ProcessCell::describeProcesses()
{
    std::string text;
    for (const auto& [name, process] : m_processes) {
        if (const auto code = process->exitCode())
            text += "\n" + name + " has ended with code " + std::to_string(*code);
    }
    for (const auto& file : std::filesystem::directory_iterator(m_folder)) {
        if (file.path().extension() != ".log")
            continue;
        std::ifstream log(file.path());
        std::string lastLine;
        for (std::string line; std::getline(log, line);)
            lastLine = line;
        text += "\n" + file.path().filename().string() + ": " + lastLine;
    }
    return text;
}

void ProcessCell::killWorkers(const std::string& zone) { m_processes.erase("worker " + zone); }

void ProcessCell::signalWorkers(const std::string& zone, int number)
{
    m_processes.at("worker " + zone)->signal(number);
}

void ProcessCell::sendLinkCommand(const std::string& pair, const std::string& command)
{
    ApiClient({ { "127.0.0.1", m_controlPorts.at(pair) } }).call("POST", command, "", 5s, true);
}

void ProcessCell::cutLinks(const std::string& zone, bool leaving, bool entering)
{
    // On links out of the zone, the forward direction leaves it; on links into the zone, it enters it.
    for (const auto& [pair, control] : m_controlPorts) {
        const bool isOutgoing = pair.substr(0, 1) == zone;
        if (!isOutgoing && pair.substr(2) != zone)
            continue;
        const bool isForward = isOutgoing ? leaving : entering;
        const bool isBackward = isOutgoing ? entering : leaving;
        sendLinkCommand(pair, isForward && isBackward ? "/cut" : isForward ? "/cut-forward" : "/cut-backward");
    }
}

void ProcessCell::restoreLinks()
{
    for (const auto& [pair, control] : m_controlPorts)
        sendLinkCommand(pair, "/restore");
}

ProcessCell::Response ProcessCell::call(
    const std::string& host, const std::string& method, const std::string& target, const nlohmann::json& body)
{
    // Like the platform's load balancer, skips hosts that respond with 503.
    Response last;
    for (const auto& candidate : m_hosts) {
        if (candidate != host && (!host.empty() || !isRunning(candidate)))
            continue;
        const auto response = ApiClient({ { "127.0.0.1", m_ports.at(candidate) } })
                                  .call(method, target, body.is_null() ? "" : body.dump(), 10s, true);
        if (!response)
            continue;
        last = { response->status, nlohmann::json::parse(response->body, nullptr, false) };
        if (last.status != 503)
            break;
    }
    return last;
}

} // namespace hickoryknot
