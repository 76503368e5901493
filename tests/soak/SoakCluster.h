#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/HttpMessage.h"
#include "processes/ChildProcess.h"
#include "standin/Link.h"

namespace hickoryknot::soak {

struct ClusterOptions {
    size_t zones { 3 };
    size_t controlPerZone { 1 };
    size_t entryPerZone { 1 };
    size_t toleratedLosses { 1 };
};

/// Runs the real program as separate processes on loopback, each host with its own address. Hosts reach each other
/// through links that can delay, drop and reset traffic.
class SoakCluster {
public:
    struct Host {
        std::string name;
        bool isControl { false };
        std::string zone;
        std::string address; // Where other hosts reach it, through the links.
        std::string bindAddress; // Where it listens.
        std::string folder;
        std::unique_ptr<ChildProcess> process;
        std::unique_ptr<Link> callLink;
        std::unique_ptr<Link> messageLink;
        bool hasStarted { false };
        bool isPaused { false };
    };

    /// `folder` must exist and be empty.
    SoakCluster(boost::asio::io_context&, ClusterOptions, std::string folder, const Endpoint& permissionService);
    ~SoakCluster();

    /// Starts all hosts with empty disks.
    void startAll();
    void start(Host&);
    void kill(Host&);
    void signal(Host&, int number);
    void wipeDisk(Host&);
    /// Restarts hosts whose process has exited. Returns a message for each one that exited with an error.
    std::vector<std::string> restartExited();

    std::vector<Host>& hosts() { return m_hosts; }
    std::vector<Host*> controlHosts();
    std::vector<Host*> entryHosts();

    static Endpoint callerEndpoint(const Host&);
    static Endpoint operatorEndpoint(const Host&);
    /// All ports at which the host accepts connections, without the links.
    static std::vector<Endpoint> listeningPorts(const Host&);
    /// A loopback address that is unique to this test process, so that soak tests can run in parallel.
    static std::string address(int group, size_t number);

private:
    void writeSettings(const Host&, bool isFirstStart);

    boost::asio::io_context& m_io;
    ClusterOptions m_options;
    std::string m_folder;
    Endpoint m_permissionService;
    std::vector<Host> m_hosts;
};

} // namespace hickoryknot::soak
