#pragma once

#include "control/CallTransport.h"
#include "net/HttpClient.h"

namespace hickoryknot {

/// Sends each call between hosts as one HTTP request; suits hosts that make few calls. Must be used on the io_context's
/// thread.
class HttpCallTransport final : public CallTransport {
public:
    explicit HttpCallTransport(boost::asio::io_context&);

    void send(const HostId&, const ControlCall&, Duration timeout, Completion) override;

private:
    HttpClient m_client;
};

} // namespace hickoryknot
