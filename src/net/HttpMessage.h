#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace hickoryknot {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Numeric IP address and TCP port.
struct Endpoint {
    std::string address;
    uint16_t port { 0 };

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// An HTTP request, received by a server or sent by a client.
struct HttpRequest {
    std::string method { "GET" };
    /// Path and query.
    std::string target { "/" };
    HttpHeaders headers {};
    std::string body {};
};

struct HttpResponse {
    int status { 200 };
    std::string contentType { "application/json" };
    HttpHeaders headers {};
    std::string body {};
    /// The server closes the connection after this response, so that the caller's next request may reach another host.
    bool closesConnection { false };
};

} // namespace hickoryknot
