#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "net/HttpClient.h"

namespace hickoryknot {

class HttpClientPool;
struct HttpClientCall;

/// One connection of a client: connects with its first call and carries one call at a time.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
public:
    HttpClientConnection(boost::asio::io_context&, std::weak_ptr<HttpClientPool>, const HttpClientSettings&,
        const boost::asio::ip::tcp::endpoint&);
    ~HttpClientConnection();

    /// Sends the call, after connecting if this is the first one.
    void run(std::shared_ptr<HttpClientCall>);

    /// Closes the connection and ends its call, if any, with this error.
    void abort(Error);

    /// Forgets the completion of the call under way.
    void dropCall();

    void close();

    /// False if the peer has closed the idle connection or sent something unasked.
    bool isUsable();

    std::chrono::steady_clock::time_point idleSince() const;

private:
    struct State;

    void connect();
    void write();
    void read();
    void finishRead();
    /// Ends the call with `error`, or with the reason given to abort(), and closes.
    void fail(ErrorCode, const std::string& message);
    /// Closes as soon as the peer closes while the connection is idle.
    void watch();

    std::unique_ptr<State> m_state;
};

} // namespace hickoryknot
