#include "Cell.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hickoryknot::review {

namespace {

constexpr int hostGroup = 1;
constexpr uint16_t internalPorts = 16;
constexpr uint16_t portsPerProcess = internalPorts + 3;

bool isFree(const std::string& address, uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &target.sin_addr);
    const bool isBound = ::bind(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0;
    ::close(socket);
    return isBound;
}

/// First of `portsPerProcess` ports that are free at all addresses.
uint16_t findFreePorts(const std::vector<std::string>& addresses)
{
    constexpr uint16_t first = 12000;
    constexpr uint16_t last = 30000;
    for (auto base = static_cast<uint16_t>(first + getpid() % 900 * portsPerProcess); base < last;
         base += portsPerProcess) {
        bool areFree = true;
        for (const auto& address : addresses) {
            for (uint16_t port = base; port < base + portsPerProcess && areFree; ++port)
                areFree = isFree(address, port);
        }
        if (areFree)
            return base;
    }
    throw std::runtime_error("no free ports");
}

} // namespace

std::string Cell::address(int group, size_t number)
{
    constexpr int firstByte = 30;
    constexpr int processes = 200;
    return "127." + std::to_string(firstByte + getpid() % processes) + "."
        + std::to_string((getpid() / processes % 50) * 5 + group) + "." + std::to_string(number + 1);
}

Cell::Cell(std::string folder, const Endpoint& advice)
    : m_folder(std::move(folder))
    , m_advice(advice)
{
    std::vector<std::string> addresses;
    for (size_t i = 0; i < controls + entries; ++i) {
        const bool isControl = i < controls;
        const std::string zone = "zone-" + std::to_string(i % controls + 1);
        const std::string name
            = (isControl ? "core-" : "front-") + zone + "-" + std::to_string(isControl ? 1 : i / controls);
        m_processes.push_back({ .name = name,
            .isControl = isControl,
            .zone = zone,
            .address = address(hostGroup, i),
            .folder = m_folder + "/" + name });
        addresses.push_back(m_processes.back().address);
        std::filesystem::create_directories(m_processes.back().folder + "/data");
    }
    const uint16_t base = findFreePorts(addresses);
    m_internalPort = base;
    m_callerPort = base + internalPorts;
    m_readinessPort = m_callerPort + 1;
    m_operatorPort = m_callerPort + 2;
}

Cell::~Cell()
{
    for (auto& process : m_processes) {
        if (process.pid <= 0)
            continue;
        ::kill(process.pid, SIGKILL);
        ::waitpid(process.pid, nullptr, 0);
    }
}

void Cell::writeSettings(const CellProcess& process)
{
    using nlohmann::json;
    const auto at = [](const std::string& address, uint16_t port) { return address + ":" + std::to_string(port); };
    json seeds = json::array();
    for (size_t i = 0; i < controls; ++i)
        seeds.push_back(at(control(i).address, m_operatorPort));
    json listen;
    if (process.isControl)
        listen["control"] = at(process.address, m_operatorPort);
    else
        listen = { { "frontend", at(process.address, m_callerPort) },
            { "readiness", at(process.address, m_readinessPort) } };
    json settings { { "node", process.name }, { "role", process.isControl ? "control" : "entry" },
        { "machineClass", process.isControl ? "core" : "front" },
        { "serves", json::array({ process.isControl ? "control" : "front" }) }, { "ip", process.address },
        { "zone", process.zone }, { "region", "region-1" },
        { "internalPortRange", { m_internalPort, m_internalPort + internalPorts - 1 } }, { "seeds", seeds },
        { "bootstrap", !process.hasStarted }, { "inTolerance", process.isControl }, { "discovery", "registry" },
        { "entry", "vip" }, { "heartbeatMs", 1500 },
        { "contracts", { "base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing" } },
        { "config_mode", "highest" }, { "orders", "call" }, { "advice", at(m_advice.address, m_advice.port) },
        { "zones", { { "zone-1", "region-1" }, { "zone-2", "region-1" }, { "zone-3", "region-1" } } },
        { "listen", listen },
        { "limits",
            { { "cpuShare", process.isControl ? 0.5 : 0.25 }, { "cores", 1 }, { "memoryMb", 256 }, { "maxFds", 4096 },
                { "linkMbps", 1000.0 }, { "diskMb", process.isControl ? 128 : 0 } } },
        { "faultTolerance", { { "machines", 1 }, { "zones", 1 }, { "regions", 0 } } },
        { "bounds",
            { { "seedLagS", 3 }, { "reuseAfterS", 2 }, { "contactMs", 3000 }, { "ackMs", 4000 }, { "catchUpS", 4 },
                { "drainMs", 2000 }, { "graceS", 6 }, { "lossSlackMs", 200 }, { "configApplyMs", 2000 },
                { "downgradeSlackMs", 250 }, { "maxStretchMs", 5000 }, { "recoverS", 12 }, { "holdMaxMs", 10000 },
                { "stopMs", 900 }, { "gangMs", 3000 }, { "cancel_ms", 3000 }, { "visible_ms", 3000 },
                { "early_ms", 250 }, { "finish_s", 14 }, { "status_s", 120 }, { "remoteSlowdown", 1.5 },
                { "checkpointS", 1 }, { "restoreMs", 100 }, { "noticeMs", 4500 }, { "moveS", 1.5 }, { "upkeepS", 2 },
                { "fencingRequired", false }, { "leaseMs", 3000 }, { "thawMs", 300 }, { "paceMs", 100 },
                { "harmMs", 4000 } } } };
    if (process.isControl)
        settings["dataDir"] = process.folder + "/data";
    std::ofstream(process.folder + "/settings.json") << settings.dump(1);
}

void Cell::start(CellProcess& process)
{
    writeSettings(process);
    process.hasStarted = true;
    const std::string settings = "HICKORYKNOT_SETTINGS=" + process.folder + "/settings.json";
    const std::string log = process.folder + "/log";
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid < 0)
        throw std::runtime_error("cannot start a process");
    if (pid > 0) {
        process.pid = pid;
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(1);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    std::string program = "target/hickoryknot";
    std::string role = process.isControl ? "control" : "entry";
    std::string path = "PATH=/usr/bin:/bin";
    std::string variable = settings;
    char* arguments[] = { program.data(), role.data(), nullptr };
    char* environment[] = { path.data(), variable.data(), nullptr };
    ::execve(program.c_str(), arguments, environment);
    _exit(127);
}

void Cell::startAll()
{
    for (auto& process : m_processes)
        start(process);
}

void Cell::signal(CellProcess& process, int number)
{
    if (process.pid <= 0)
        return;
    ::kill(process.pid, number);
    if (number == SIGKILL) {
        ::waitpid(process.pid, nullptr, 0);
        process.pid = -1;
    }
}

bool Cell::hasUnexpectedExit()
{
    bool hasEnded = false;
    for (auto& process : m_processes) {
        if (process.pid > 0 && ::waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
            process.pid = -1;
            hasEnded = true;
        }
    }
    return hasEnded;
}

} // namespace hickoryknot::review
