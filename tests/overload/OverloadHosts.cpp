#include "overload/OverloadHosts.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <unistd.h>

#include "net/EndpointText.h"
#include "net/HttpClient.h"
#include "net/MessageFrame.h"

namespace hickoryknot::overload {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/// Time for one answer; the caller of the test retries.
constexpr Duration exchangeTimeout = 5s;

/// The program under test; the variable OVERLOAD_PROGRAM names another build of it, for comparisons.
std::string program()
{
    const char* path = std::getenv("OVERLOAD_PROGRAM"); // NOLINT(concurrency-mt-unsafe)
    return path ? path : BINARY_FOLDER "/hickoryknot";
}

/// A loopback address that is unique to this test process.
std::string addressOf(int number)
{
    return "127." + std::to_string(60 + getpid() % 180) + "." + std::to_string(getpid() / 180 % 250) + "."
        + std::to_string(number);
}

/// True if the `serve` command has the flag. Older versions refuse flags that they do not know.
bool serveHasFlag(const std::string& flag, const std::string& folder)
{
    const std::string file = folder + "/help";
    ChildProcess help({ program(), "serve", "--help" }, file);
    while (!help.exitCode())
        usleep(10'000);
    std::ifstream stream(file);
    const std::string text { std::istreambuf_iterator<char>(stream), {} };
    return text.find("--" + flag) != std::string::npos;
}

} // namespace

OverloadHosts::OverloadHosts(Kind kind)
    : m_entryAddress(addressOf(1))
    , m_controlAddress(addressOf(2))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "hickoryknot-overload-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    if (kind == Kind::Roles)
        startRoles();
    else
        startServe();
}

OverloadHosts::~OverloadHosts()
{
    m_entry.reset();
    m_control.reset();
    std::error_code error;
    std::filesystem::remove_all(m_folder, error);
}

void OverloadHosts::startRoles()
{
    const auto start = [&](const std::string& role, const std::string& address, const json& listen, size_t memoryMb) {
        json settings { { "node", role }, { "zone", "z1" }, { "ip", address }, { "bindIp", address },
            { "internalPortRange", { internalPort, internalPort + 15 } }, { "seeds", { formatEndpoint(operators()) } },
            { "bootstrap", true }, { "listen", listen }, { "heartbeatMs", 1500 },
            { "limits", { { "memoryMb", memoryMb }, { "maxFds", maxDescriptors } } } };
        if (role == "control") {
            std::filesystem::create_directories(m_folder + "/data");
            settings["dataDir"] = m_folder + "/data";
        }
        const std::string file = m_folder + "/" + role + ".json";
        std::ofstream(file) << settings.dump(1);
        return std::make_unique<ChildProcess>(
            std::vector<std::string> { "/usr/bin/env", "HICKORYKNOT_SETTINGS=" + file, program(), role },
            m_folder + "/" + role + ".log");
    };
    m_control = start("control", m_controlAddress, { { "control", formatEndpoint(operators()) } }, controlMemoryMb);
    m_entry = start("entry", m_entryAddress,
        { { "frontend", formatEndpoint(callers()) }, { "readiness", formatEndpoint(readiness()) } }, entryMemoryMb);
}

void OverloadHosts::startServe()
{
    // The command takes the descriptor limit of its process.
    std::string command = "ulimit -n " + std::to_string(maxDescriptors) + "; exec " + program() + " serve --host-id a1"
        + " --zone a --listen " + formatEndpoint(serve()) + " --hosts a1@a=" + formatEndpoint(serve()) + "+disk --data "
        + m_folder + "/data";
    if (serveHasFlag("memory-mb", m_folder))
        command += " --memory-mb " + std::to_string(serveMemoryMb);
    m_entry = std::make_unique<ChildProcess>(
        std::vector<std::string> { "/bin/sh", "-c", command }, m_folder + "/serve.log");
}

std::string OverloadHosts::largeTable()
{
    constexpr size_t tableBytes = size_t { 1536 } * 1024;
    const json queue { { "name", "batch" }, { "host", "callers.example" }, { "pathPrefix", "/batch/" },
        { "kind", "unsafe" }, { "timeoutMs", 3000 }, { "targetLatencyMs", 10'000 }, { "priority", 0 },
        { "service", "pool" } };
    json table { { "version", 1 }, { "routes", { queue } },
        { "services", { { { "name", "pool" }, { "rejectsOverload", false }, { "standby", false } } } } };
    table["comment"] = "";
    const size_t size = table.dump().size();
    table["comment"] = std::string(tableBytes - size, 'x');
    return table.dump();
}

Expected<HttpResponse> exchange(const Endpoint& endpoint, const HttpRequest& request)
{
    asio::io_context io;
    HttpClient client(io, { .maxConnectionsPerEndpoint = 1 });
    std::optional<HttpClientResult> result;
    client.send(endpoint, request, exchangeTimeout, [&](HttpClientResult received) {
        result = std::move(received);
        client.close();
        io.stop();
    });
    io.run();
    if (!result)
        return makeError(ErrorCode::Unavailable, "no response");
    return std::move(result->response);
}

bool acknowledgesProbe(const Endpoint& endpoint)
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    const std::array<char, message_frame::headerBytes> probe { 0, 0, 0, 0,
        static_cast<char>(message_frame::probeKind) };
    char ack = 0;
    bool isAcknowledged = false;
    socket.async_connect(
        { asio::ip::make_address(endpoint.address), endpoint.port }, [&](boost::system::error_code connectError) {
            if (connectError)
                return;
            asio::async_write(socket, asio::buffer(probe), [&](boost::system::error_code writeError, size_t) {
                if (writeError)
                    return;
                asio::async_read(socket, asio::buffer(&ack, 1), [&](boost::system::error_code readError, size_t) {
                    isAcknowledged = !readError && ack == message_frame::ackByte;
                });
            });
        });
    io.run_for(exchangeTimeout);
    boost::system::error_code ignored;
    socket.close(ignored);
    io.restart();
    io.poll();
    return isAcknowledged;
}

} // namespace hickoryknot::overload
