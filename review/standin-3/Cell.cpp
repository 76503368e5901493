#include "Cell.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include "Fleet.h"
#include "Sockets.h"

namespace review {

using nlohmann::json;

namespace {

constexpr uint16_t frontendPort = 8161;
constexpr uint16_t controlPort = 8166;
constexpr uint16_t readinessPort = 8167;
constexpr uint16_t workerPort = 8080;
constexpr uint16_t internalPort = 7720;
constexpr size_t firstStandin = 20;

bool isFree(const std::string& ip, uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = socketAddress({ ip, port });
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const bool result = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    return result;
}

} // namespace

Record::Record(const std::string& path)
    : m_file(path)
    , m_startMs(steadyMs())
{
}

void Record::write(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f s  ", static_cast<double>(steadyMs() - m_startMs) / 1000);
    m_file << time << line << std::endl;
}

Cell::Cell(std::string program, Record& record, bool hasLinks)
    : m_program(std::move(program))
    , m_record(record)
    , m_hasLinks(hasLinks)
{
    std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    m_folder = pattern;
    std::mt19937 random(std::random_device {}());
    for (int attempt = 0; attempt < 50 && m_prefix.empty(); ++attempt) {
        m_prefix = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        for (size_t i = 1; i <= 40 && !m_prefix.empty(); ++i) {
            const std::string address = m_prefix + std::to_string(i);
            for (const uint16_t port : { frontendPort, controlPort, readinessPort, workerPort, internalPort,
                     static_cast<uint16_t>(internalPort + 1) }) {
                if (!isFree(address, port)) {
                    m_prefix.clear();
                    break;
                }
            }
        }
    }
    if (m_prefix.empty())
        throw std::runtime_error("no free loopback addresses");
    const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
    const auto add = [&](const std::string& zone, bool isControl) {
        const std::string name = (isControl ? "core-" : "front-") + zone + "-1";
        const std::string folder = m_folder + "/" + name;
        std::filesystem::create_directories(folder + "/data");
        m_hosts.push_back(
            { .name = name, .isControl = isControl, .zone = zone, .ip = ip(m_hosts.size() + 1), .folder = folder });
    };
    for (const auto& zone : zones)
        add(zone, true);
    add(zones[0], false);
    add(zones[1], false);
    for (const auto& host : m_hosts) {
        if (!hasLinks)
            break;
        const std::vector<uint16_t> ports { internalPort, internalPort + 1 };
        for (size_t i = 0; i < (host.isControl ? 2 : 1); ++i) {
            m_links.push_back(
                std::make_unique<Link>(Address { host.ip, ports[i] }, Address { bindIp(host), ports[i] }));
            if (!m_links.back()->isOpen())
                throw std::runtime_error("a port of a link is not free");
        }
    }
}

// Behind the links.
std::string Cell::bindIp(const Host& host) const
{
    constexpr size_t firstBound = 10;
    return ip(firstBound + static_cast<size_t>(&host - m_hosts.data()));
}

void Cell::silenceOpenConnections()
{
    m_record.write("all open connections between hosts become silent");
    for (const auto& link : m_links)
        link->silenceOpenConnections();
}

Cell::~Cell()
{
    for (auto& host : m_hosts) {
        if (host.pid > 0)
            signal(host, SIGKILL);
    }
    std::error_code ignored;
    if (!std::getenv("KEEP")) // Keeps the hosts' logs.
        std::filesystem::remove_all(m_folder, ignored);
    else
        std::cout << "kept " << m_folder << '\n';
}

std::string Cell::ip(size_t number) const { return m_prefix + std::to_string(number); }

std::string Cell::standinIp(size_t number) const { return ip(firstStandin + number); }

uint16_t Cell::standinPort() const { return workerPort; }

Address Cell::frontend(const Host& host) const { return { host.ip, frontendPort }; }

Address Cell::readiness(const Host& host) const { return { host.ip, readinessPort }; }

Address Cell::control(const Host& host) const { return { host.ip, controlPort }; }

std::vector<Cell::Host*> Cell::controls()
{
    std::vector<Host*> result;
    for (auto& host : m_hosts) {
        if (host.isControl)
            result.push_back(&host);
    }
    return result;
}

std::vector<Cell::Host*> Cell::entries()
{
    std::vector<Host*> result;
    for (auto& host : m_hosts) {
        if (!host.isControl)
            result.push_back(&host);
    }
    return result;
}

std::vector<Address> Cell::controlAddresses()
{
    std::vector<Address> result;
    for (const auto* host : controls())
        result.push_back(control(*host));
    return result;
}

// The fields and bounds of DEPLOY.md, in the layout of deploy/settings.json, which holds all fields as JSON.
void Cell::writeSettings(const Host& host) const
{
    json seeds = json::array();
    for (const auto& other : m_hosts) {
        if (other.isControl)
            seeds.push_back(control(other).text());
    }
    json listen;
    if (host.isControl) {
        listen["control"] = control(host).text();
    } else {
        listen["frontend"] = frontend(host).text();
        listen["readiness"] = readiness(host).text();
    }
    json settings { { "node", host.name }, { "role", host.isControl ? "control" : "entry" },
        { "machineClass", host.isControl ? "core" : "front" },
        { "serves", json::array({ host.isControl ? "control" : "front" }) }, { "ip", host.ip }, { "zone", host.zone },
        { "region", "region-a" }, { "internalPortRange", { internalPort, internalPort + 15 } }, { "seeds", seeds },
        { "bootstrap", !host.hasStarted }, { "inTolerance", host.isControl }, { "discovery", "registry" },
        { "entry", "vip" }, { "heartbeatMs", 1500 },
        { "contracts", { "base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing" } },
        { "config_mode", "highest" }, { "orders", "call" }, { "listen", listen },
        { "zones", { { "zone-a", "region-a" }, { "zone-b", "region-a" }, { "zone-c", "region-a" } } },
        { "limits",
            { { "cpuShare", host.isControl ? 0.5 : 0.25 }, { "cores", 1 }, { "memoryMb", host.isControl ? 256 : 260 },
                { "maxFds", host.isControl ? 4096 : 4100 }, { "linkMbps", 1000.0 },
                { "diskMb", host.isControl ? 128 : 0 } } },
        { "faultTolerance", { { "machines", 1 }, { "zones", 1 }, { "regions", 0 } } },
        { "bounds",
            { { "seedLagS", 3 }, { "reuseAfterS", 2 }, { "contactMs", 3000 }, { "ackMs", 4000 }, { "catchUpS", 4 },
                { "drainMs", 2000 }, { "graceS", 6 }, { "lossSlackMs", 200 }, { "configApplyMs", 2000 },
                { "downgradeSlackMs", 250 }, { "maxStretchMs", 5000 }, { "recoverS", 12 }, { "holdMaxMs", 10000 },
                { "stopMs", 900 }, { "gangMs", 3000 }, { "cancel_ms", 3000 }, { "visible_ms", 3000 },
                { "early_ms", 250 }, { "finish_s", 14 }, { "status_s", 120 }, { "remoteSlowdown", 2 },
                { "checkpointS", 1 }, { "restoreMs", 250 }, { "noticeMs", 4500 }, { "moveS", 1.5 }, { "upkeepS", 2 },
                { "fencingRequired", false }, { "leaseMs", 3000 }, { "thawMs", 300 }, { "paceMs", 100 },
                { "harmMs", 4000 } } } };
    if (m_hasLinks)
        settings["bindIp"] = bindIp(host);
    if (host.isControl)
        settings["dataDir"] = host.folder + "/data";
    std::ofstream(host.folder + "/settings.json") << settings.dump(1);
}

void Cell::startAll()
{
    for (auto& host : m_hosts)
        start(host);
}

void Cell::start(Host& host)
{
    writeSettings(host);
    host.hasStarted = true;
    const std::string variable = "HICKORYKNOT_SETTINGS=" + host.folder + "/settings.json";
    const std::string log = host.folder + "/log";
    const pid_t pid = ::fork();
    if (pid < 0)
        throw std::runtime_error("cannot start a process");
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        const char* role = host.isControl ? "control" : "entry";
        char* const arguments[] = { const_cast<char*>(m_program.c_str()), const_cast<char*>(role), nullptr };
        char* const environment[] = { const_cast<char*>(variable.c_str()), nullptr };
        ::execve(m_program.c_str(), arguments, environment);
        ::_exit(127);
    }
    host.pid = pid;
    m_record.write("started " + host.name);
}

void Cell::signal(Host& host, int number)
{
    if (host.pid <= 0)
        return;
    ::kill(host.pid, number);
    m_record.write("signal " + std::to_string(number) + " (" + ::strsignal(number) + ") to " + host.name);
    if (number != SIGKILL)
        return;
    ::waitpid(host.pid, nullptr, 0);
    host.pid = 0;
}

bool Cell::waitForEnd(Host& host, int64_t timeoutMs)
{
    const int64_t until = steadyMs() + timeoutMs;
    while (host.pid > 0 && steadyMs() < until) {
        if (::waitpid(host.pid, nullptr, WNOHANG) == host.pid) {
            host.pid = 0;
            m_record.write(host.name + " has ended");
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
    return host.pid == 0;
}

size_t Cell::restartEnded()
{
    size_t count = 0;
    for (auto& host : m_hosts) {
        int status = 0;
        if (host.pid <= 0 || ::waitpid(host.pid, &status, WNOHANG) != host.pid)
            continue;
        host.pid = 0;
        m_record.write(host.name + " ended by itself, status " + std::to_string(status));
        start(host);
        ++count;
    }
    return count;
}

double Cell::residentMb(const Host& host) const
{
    if (host.pid <= 0)
        return 0;
    std::ifstream file("/proc/" + std::to_string(host.pid) + "/statm");
    int64_t total = 0;
    int64_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident * ::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

} // namespace review
