#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "net/HttpClient.h"

namespace hickoryknot {

class HttpClientConnection;

/// One request on its way through the client, from send() to its completion.
struct HttpClientCall {
    HttpClientCall(boost::asio::io_context& io, HttpRequest wanted, HttpClient::Completion whenDone)
        : request(std::move(wanted))
        , completion(std::move(whenDone))
        , deadline(io)
    {
    }

    /// Runs the completion; later calls do nothing.
    void finish(HttpClientResult result)
    {
        deadline.cancel();
        if (auto done = std::exchange(completion, nullptr))
            done(std::move(result));
    }

    HttpRequest request;
    HttpClient::Completion completion;
    boost::asio::steady_timer deadline;
    /// Empty while the call waits for a connection.
    std::weak_ptr<HttpClientConnection> connection;
};

} // namespace hickoryknot
