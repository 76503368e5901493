#include "SoakCluster.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace hickoryknot::soak {

namespace {

constexpr uint16_t callerPort = 8161;
constexpr uint16_t operatorPort = 8166;
constexpr uint16_t readinessPort = 8167;
constexpr uint16_t internalPort = 7720;
constexpr int hostGroup = 1;
constexpr int bindGroup = 2;

} // namespace

std::string SoakCluster::address(int group, size_t number)
{
    // In 127/8; the second and third byte identify the process and the group.
    constexpr int firstByte = 30;
    constexpr int processes = 200;
    return "127." + std::to_string(firstByte + getpid() % processes) + "."
        + std::to_string((getpid() / processes % 50) * 5 + group) + "." + std::to_string(number + 1);
}

SoakCluster::SoakCluster(
    boost::asio::io_context& io, ClusterOptions options, std::string folder, const Endpoint& permissionService)
    : m_io(io)
    , m_options(options)
    , m_folder(std::move(folder))
    , m_permissionService(permissionService)
{
    const auto add = [&](bool isControl, size_t zone, size_t number) {
        const std::string zoneName = "z" + std::to_string(zone + 1);
        const std::string name = (isControl ? "control-" : "entry-") + zoneName + "-" + std::to_string(number + 1);
        const size_t index = m_hosts.size();
        m_hosts.push_back({ .name = name,
            .isControl = isControl,
            .zone = zoneName,
            .address = address(hostGroup, index),
            .bindAddress = address(bindGroup, index),
            .folder = m_folder + "/" + name,
            .process = nullptr,
            .callLink = nullptr,
            .messageLink = nullptr });
    };
    for (size_t zone = 0; zone < options.zones; ++zone) {
        for (size_t i = 0; i < options.controlPerZone; ++i)
            add(true, zone, i);
        for (size_t i = 0; i < options.entryPerZone; ++i)
            add(false, zone, i);
    }
    for (auto& host : m_hosts) {
        std::filesystem::create_directories(host.folder + "/data");
        const auto link = [&](uint16_t port) {
            auto result
                = std::make_unique<Link>(m_io, Endpoint { host.address, port }, Endpoint { host.bindAddress, port });
            result->start();
            return result;
        };
        host.callLink = link(internalPort);
        if (host.isControl)
            host.messageLink = link(internalPort + 1);
    }
}

SoakCluster::~SoakCluster() = default;

void SoakCluster::writeSettings(const Host& host, bool isFirstStart)
{
    nlohmann::json seeds = nlohmann::json::array();
    for (const auto* control : controlHosts()) {
        if (seeds.size() < 3)
            seeds.push_back(control->address + ":" + std::to_string(operatorPort));
    }
    nlohmann::json listen;
    if (host.isControl) {
        listen["control"] = host.bindAddress + ":" + std::to_string(operatorPort);
    } else {
        listen["frontend"] = host.bindAddress + ":" + std::to_string(callerPort);
        listen["readiness"] = host.bindAddress + ":" + std::to_string(readinessPort);
    }
    nlohmann::json settings { { "node", host.name }, { "zone", host.zone }, { "ip", host.address },
        { "bindIp", host.bindAddress }, { "internalPortRange", { internalPort, internalPort + 15 } },
        { "seeds", seeds }, { "bootstrap", isFirstStart }, { "listen", listen }, { "heartbeatMs", 1500 },
        { "advice", m_permissionService.address + ":" + std::to_string(m_permissionService.port) },
        { "faultTolerance", { { "machines", m_options.toleratedLosses } } },
        { "bounds", { { "holdMaxMs", 10'000 }, { "gangMs", 3000 }, { "graceS", 6 } } } };
    if (host.isControl)
        settings["dataDir"] = host.folder + "/data";
    std::ofstream(host.folder + "/settings.json") << settings.dump(1);
}

void SoakCluster::startAll()
{
    for (auto& host : m_hosts)
        start(host);
}

void SoakCluster::start(Host& host)
{
    host.isPaused = false;
    writeSettings(host, !std::exchange(host.hasStarted, true));
    host.process = std::make_unique<ChildProcess>(
        std::vector<std::string> { "/usr/bin/env", "HICKORYKNOT_SETTINGS=" + host.folder + "/settings.json",
            BINARY_FOLDER "/hickoryknot", host.isControl ? "control" : "entry" },
        host.folder + "/log");
}

void SoakCluster::kill(Host& host)
{
    host.process.reset();
    host.isPaused = false;
}

void SoakCluster::signal(Host& host, int number)
{
    if (host.process)
        host.process->signal(number);
    host.isPaused = number == SIGSTOP || (host.isPaused && number != SIGCONT);
}

void SoakCluster::wipeDisk(Host& host)
{
    std::filesystem::remove_all(host.folder + "/data");
    std::filesystem::create_directories(host.folder + "/data");
}

std::vector<std::string> SoakCluster::restartExited()
{
    std::vector<std::string> failures;
    for (auto& host : m_hosts) {
        const auto exitCode = host.process ? host.process->exitCode() : std::nullopt;
        if (!exitCode)
            continue;
        if (*exitCode)
            failures.push_back(host.name + " ended with code " + std::to_string(*exitCode));
        start(host);
    }
    return failures;
}

std::vector<SoakCluster::Host*> SoakCluster::controlHosts()
{
    std::vector<Host*> hosts;
    for (auto& host : m_hosts) {
        if (host.isControl)
            hosts.push_back(&host);
    }
    return hosts;
}

std::vector<SoakCluster::Host*> SoakCluster::entryHosts()
{
    std::vector<Host*> hosts;
    for (auto& host : m_hosts) {
        if (!host.isControl)
            hosts.push_back(&host);
    }
    return hosts;
}

Endpoint SoakCluster::callerEndpoint(const Host& host) { return { host.bindAddress, callerPort }; }

Endpoint SoakCluster::operatorEndpoint(const Host& host) { return { host.bindAddress, operatorPort }; }

std::vector<Endpoint> SoakCluster::listeningPorts(const Host& host)
{
    if (host.isControl)
        return { { host.bindAddress, operatorPort }, { host.bindAddress, internalPort },
            { host.bindAddress, internalPort + 1 } };
    return { { host.bindAddress, callerPort }, { host.bindAddress, readinessPort },
        { host.bindAddress, internalPort } };
}

} // namespace hickoryknot::soak
