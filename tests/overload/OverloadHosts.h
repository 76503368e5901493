#pragma once

#include <memory>
#include <string>

#include "core/Error.h"
#include "net/HttpMessage.h"
#include "processes/ChildProcess.h"

namespace hickoryknot::overload {

/// Limits that the tests set. They are far below those of a deployment, so that few clients reach them.
inline constexpr size_t entryMemoryMb = 48;
/// Room for a queue table of 1.5 MiB, which an entry host never has.
inline constexpr size_t controlMemoryMb = 96;
inline constexpr size_t serveMemoryMb = 48;
inline constexpr size_t maxDescriptors = 400;
/// Part of the descriptors that is kept for files.
inline constexpr size_t fileDescriptors = 200;

/// One control host and one entry host, or one host of `hickoryknot serve`, as processes of their own on loopback
/// addresses.
class OverloadHosts {
public:
    enum class Kind {
        Roles,
        Serve,
    };

    explicit OverloadHosts(Kind);
    ~OverloadHosts();
    OverloadHosts(const OverloadHosts&) = delete;
    OverloadHosts& operator=(const OverloadHosts&) = delete;

    Endpoint callers() const { return { m_entryAddress, callerPort }; }
    Endpoint readiness() const { return { m_entryAddress, readinessPort }; }
    Endpoint entryCalls() const { return { m_entryAddress, internalPort }; }
    Endpoint operators() const { return { m_controlAddress, operatorPort }; }
    Endpoint controlCalls() const { return { m_controlAddress, internalPort }; }
    Endpoint messages() const { return { m_controlAddress, internalPort + 1 }; }
    Endpoint serve() const { return { m_entryAddress, callerPort }; }

    ChildProcess& entryProcess() { return *m_entry; }
    ChildProcess& controlProcess() { return *m_control; }
    ChildProcess& serveProcess() { return *m_entry; }

    /// A queue table with one queue, `/batch/` at callers.example, padded to 1.5 MiB.
    static std::string largeTable();

private:
    static constexpr uint16_t callerPort = 8161;
    static constexpr uint16_t operatorPort = 8166;
    static constexpr uint16_t readinessPort = 8167;
    static constexpr uint16_t internalPort = 7720;

    void startRoles();
    void startServe();

    std::string m_folder;
    std::string m_entryAddress;
    std::string m_controlAddress;
    std::unique_ptr<ChildProcess> m_entry;
    std::unique_ptr<ChildProcess> m_control;
};

/// Sends one request on a connection of its own. Unavailable, Timeout: no response within 5 s.
Expected<HttpResponse> exchange(const Endpoint&, const HttpRequest&);

/// True if the message port acknowledges a probe within 5 s.
bool acknowledgesProbe(const Endpoint&);

} // namespace hickoryknot::overload
