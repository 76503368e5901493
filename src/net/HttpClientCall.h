#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "net/HttpClient.h"

namespace hickoryknot {

class HttpClientConnection;

/// A pending request of the client, from send() to its completion.
struct HttpClientCall {
    HttpClientCall(boost::asio::io_context& io, HttpRequest httpRequest, HttpClient::Completion onCompletion)
        : request(std::move(httpRequest))
        , completion(std::move(onCompletion))
        , deadline(io)
    {
    }

    /// Calls the completion on the first call; later calls do nothing.
    void finish(HttpClientResult result)
    {
        deadline.cancel();
        if (auto done = std::exchange(completion, nullptr))
            done(std::move(result));
    }

    HttpRequest request;
    HttpClient::Completion completion;
    boost::asio::steady_timer deadline;
    /// Empty while the call is queued.
    std::weak_ptr<HttpClientConnection> connection;
};

} // namespace hickoryknot
