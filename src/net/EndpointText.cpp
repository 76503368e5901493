#include "net/EndpointText.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace hickoryknot {

Expected<Endpoint> parseEndpoint(std::string_view text)
{
    const auto invalidEndpoint = [&] {
        return makeError(ErrorCode::InvalidArgument,
            "\"" + std::string(text) + "\" is not a numeric address and port such as 127.0.0.1:7000 or [::1]:7000");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalidEndpoint();
    auto address = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    const bool isBracketed = address.starts_with('[') && address.ends_with(']');
    if (isBracketed)
        address = address.substr(1, address.size() - 2);

    Endpoint endpoint { .address = std::string(address) };
    const auto [end, status] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(endpoint.address, error);
    if (port.empty() || status != std::errc() || end != port.data() + port.size() || error || ip.is_v6() != isBracketed)
        return invalidEndpoint();
    return endpoint;
}

Expected<std::vector<Endpoint>> parseEndpoints(std::string_view text)
{
    std::vector<Endpoint> endpoints;
    while (true) {
        const auto comma = text.find(',');
        auto endpoint = parseEndpoint(text.substr(0, comma));
        if (!endpoint)
            return tl::unexpected(std::move(endpoint.error()));
        endpoints.push_back(std::move(*endpoint));
        if (comma == std::string_view::npos)
            return endpoints;
        text.remove_prefix(comma + 1);
    }
}

std::string formatEndpoint(const Endpoint& endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    const auto address = isV6 ? "[" + endpoint.address + "]" : endpoint.address;
    return address + ":" + std::to_string(endpoint.port);
}

} // namespace hickoryknot
