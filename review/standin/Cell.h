#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

#include "net/HttpMessage.h"

namespace hickoryknot::review {

/// A process of the deploy file's roles on a loopback address of its own.
struct CellProcess {
    std::string name;
    bool isControl { false };
    std::string zone;
    std::string address;
    std::string folder;
    pid_t pid { -1 };
    bool hasStarted { false };
};

/// Three control and seven entry processes of target/hickoryknot in three zones, with settings as DEPLOY.md has them.
class Cell {
public:
    Cell(std::string folder, const Endpoint& advice);
    ~Cell();
    Cell(const Cell&) = delete;
    Cell& operator=(const Cell&) = delete;

    void startAll();
    void signal(CellProcess&, int number);

    std::vector<CellProcess>& processes() { return m_processes; }
    CellProcess& control(size_t index) { return m_processes[index]; }
    CellProcess& entry(size_t index) { return m_processes[controls + index]; }
    Endpoint operatorEndpoint(size_t index) { return { control(index).address, m_operatorPort }; }
    Endpoint callerEndpoint(size_t index) { return { entry(index).address, m_callerPort }; }
    Endpoint internalEndpoint(size_t index) { return { control(index).address, m_internalPort }; }
    /// True if a process has ended that the test did not end.
    bool hasUnexpectedExit();

    /// A loopback address that no other test process uses.
    static std::string address(int group, size_t number);

    static constexpr size_t controls = 3;
    static constexpr size_t entries = 7;

private:
    void start(CellProcess&);
    void writeSettings(const CellProcess&);

    std::string m_folder;
    Endpoint m_advice;
    std::vector<CellProcess> m_processes;
    uint16_t m_callerPort { 0 };
    uint16_t m_readinessPort { 0 };
    uint16_t m_operatorPort { 0 };
    uint16_t m_internalPort { 0 };
};

} // namespace hickoryknot::review
