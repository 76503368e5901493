#pragma once

#include <string>
#include <string_view>

#include "protocol/ErrorCodec.h"

namespace hickoryknot {

/// A whole 503 response that says that nothing has been run. Sent where there is no time to wait for the client.
inline std::string refusalText(std::string_view reason)
{
    const std::string body = encodeError({ ErrorCode::Overloaded, std::string(reason) });
    return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nX-Not-Started: 1\r\nRetry-After: 1\r\n"
           "Content-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace hickoryknot
