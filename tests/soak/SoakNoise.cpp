#include "SoakNoise.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "SoakCluster.h"

namespace hickoryknot::soak {

namespace {

constexpr int messagesPerTick = 3;
constexpr size_t maxRandomBytes = 400;
constexpr size_t maxNesting = 5000;
/// Requests that the hosts serve, with callers' and operators' ones among them.
constexpr std::array targets { "PUT /config", "GET /config", "PUT /instances/i-noise", "DELETE /instances/i-noise",
    "POST /wave-start", "GET /wave-get/x", "POST /fleet/call", "POST /fleet/permit", "GET /readyz", "GET /metrics",
    "POST /top/0123456789abcdef", "GET /top/zz", "DELETE /top/", "BREW /" };

} // namespace

SoakNoise::SoakNoise(SoakCluster& cluster, uint64_t seed)
    : m_cluster(cluster)
    , m_random(seed)
{
}

std::string SoakNoise::randomBytes(size_t maxSize)
{
    std::string bytes(m_random() % maxSize + 1, '\0');
    for (char& byte : bytes)
        byte = static_cast<char>(m_random());
    return bytes;
}

std::string SoakNoise::malformedBody()
{
    switch (m_random() % 7) {
    case 0:
        return R"({"version":"7","routes":{},"services":[1,null,[]],"limits":-1})";
    case 1:
        return R"({"version":18446744073709551615,"routes":[{"name":7,"host":[],"timeoutMs":0}])";
    case 2:
        return R"({"service":9,"address":"10.0.0.1","slots":-1,"state":"gone","born":"now","sequence":1e400})";
    case 3:
        return R"({"spec":7,"steps":[{"count":-1,"cpu":1e300,"after":[0,99999999999]},{}]})";
    case 4: // Deep nesting, which exhausts the stack of a recursive parser.
        return std::string(m_random() % maxNesting, '[');
    case 5: // A CBOR array that claims more elements than memory can hold.
        return "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff" + randomBytes(maxRandomBytes);
    default:
        return randomBytes(maxRandomBytes);
    }
}

std::string SoakNoise::malformedRequest()
{
    const std::string body = malformedBody();
    std::string request = std::string(targets.at(m_random() % targets.size())) + " HTTP/1.1\r\nHost: soak.example\r\n";
    if (m_random() % 4 == 0)
        request += "X-Hickoryknot-Deadline-Ms: " + randomBytes(8) + "\r\n";
    // Sometimes more or less than the length that is announced, or no number.
    const size_t announced = body.size() + (m_random() % 4 == 0 ? m_random() % 64 : 0);
    request += "Content-Length: " + (m_random() % 16 == 0 ? std::string("-1") : std::to_string(announced)) + "\r\n\r\n";
    request += body;
    if (m_random() % 4 == 0)
        request.resize(m_random() % request.size());
    return request;
}

std::string SoakNoise::malformedFrame()
{
    // A length of up to 4 GiB, a kind and bytes that are no message.
    return randomBytes(5) + malformedBody();
}

void SoakNoise::advance()
{
    using boost::asio::ip::tcp;
    for (int i = 0; i < messagesPerTick; ++i) {
        const auto& host = m_cluster.hosts().at(m_random() % m_cluster.hosts().size());
        const auto ports = SoakCluster::listeningPorts(host);
        const auto& port = ports.at(m_random() % ports.size());
        boost::asio::io_context io;
        tcp::socket socket(io);
        boost::system::error_code error;
        socket.connect({ boost::asio::ip::make_address(port.address), port.port }, error);
        // The process may be down, and a socket of a paused one may be full.
        if (error)
            continue;
        socket.non_blocking(true, error);
        const std::string message = m_random() % 3 == 0 ? malformedFrame() : malformedRequest();
        boost::asio::write(socket, boost::asio::buffer(message), error);
        m_sent += !error;
    }
}

} // namespace hickoryknot::soak
