#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

#include "Http.h"
#include "Link.h"

namespace review {

/// Writes lines with the time since the start to record.txt.
class Record {
public:
    explicit Record(const std::string& path);
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    int64_t m_startMs;
};

/// The project's own processes with the settings of a small deployment: a control host in each of three zones and an
/// entry host in two of them, each on a loopback address of its own. Ends all processes in its destructor.
class Cell {
public:
    struct Host {
        std::string name;
        bool isControl { false };
        std::string zone;
        std::string ip;
        std::string folder;
        pid_t pid { 0 };
        bool hasStarted { false };
    };

    /// `program` is the binary that the deploy file's build command makes.
    /// With links, the hosts reach each other through proxies.
    Cell(std::string program, Record&, bool hasLinks);
    ~Cell();
    Cell(const Cell&) = delete;
    Cell& operator=(const Cell&) = delete;

    void startAll();
    void start(Host&);
    /// Sends a signal to the host's process. SIGKILL also waits for its end.
    void signal(Host&, int number);
    /// Waits until the process ends by itself; true if it did.
    bool waitForEnd(Host&, int64_t timeoutMs);
    bool isRunning(const Host& host) const { return host.pid > 0; }
    /// Restarts the hosts whose process has ended by itself, as the platform does; returns their number.
    size_t restartEnded();

    std::vector<Host>& hosts() { return m_hosts; }
    std::vector<Host*> controls();
    std::vector<Host*> entries();
    Address frontend(const Host&) const;
    Address readiness(const Host&) const;
    Address control(const Host&) const;
    std::vector<Address> controlAddresses();
    /// A loopback address of this run on which all ports are free for stand-ins.
    std::string standinIp(size_t number) const;
    uint16_t standinPort() const;
    /// Needs links: open connections between hosts carry nothing any more, and new ones work.
    void silenceOpenConnections();
    /// Resident memory of the host's process in MB; 0 if it does not run.
    double residentMb(const Host&) const;

private:
    void writeSettings(const Host&) const;
    std::string ip(size_t number) const;
    std::string bindIp(const Host&) const;

    std::string m_program;
    Record& m_record;
    std::string m_folder;
    std::string m_prefix; // The first three bytes of the addresses.
    bool m_hasLinks;
    std::vector<Host> m_hosts;
    std::vector<std::unique_ptr<Link>> m_links;
};

} // namespace review
