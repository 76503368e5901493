#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <pcg_random.hpp>

#include "EntryClient.h"
#include "LineLog.h"
#include "protocol/ServerHeartbeat.h"

namespace hickoryknot {

struct BackendServerSettings {
    ServerId id;
    ZoneId zone;
    RackId rack;
    /// Port 0 selects any free port.
    Endpoint listen;
    std::vector<Endpoint> entries;
    uint32_t slots { 8 };
    uint32_t connectionLimit { 60 };
    /// Time for which a request occupies a slot.
    Duration work { 5ms };
    /// Delay between the end of the work and the response, during which the slot is free.
    Duration responseDelay { 0 };
    /// Fraction of requests rejected with 503 and X-Not-Started.
    double failRate { 0 };
    /// Fraction of requests whose connection is closed halfway through the work.
    double vanishRate { 0 };
    /// Sends each response twice on the same connection.
    bool duplicatesResponses { false };
    /// 0 means never.
    Duration leaveAfter { 0 };
    /// How long the server still accepts requests after it has announced that it is leaving.
    Duration leaveGrace { 3s };
    uint64_t seed { 1 };
};

/// Simulated backend server: sends heartbeats, serves `POST /work`, and logs `start` and `finish` with request id and
/// server id, and `leaving` with the server id.
class BackendServer {
public:
    BackendServer(boost::asio::io_context&, BackendServerSettings, LineLog&);
    ~BackendServer();

    /// Throws boost::system::system_error if the port cannot be bound.
    void start();

    /// Announces that the server is leaving, serves requests for the grace period, and finishes requests in progress.
    void leave();

    bool hasLeft() const { return m_hasLeft; }
    uint16_t port() const { return m_settings.listen.port; }

private:
    class Connection;
    friend class Connection;

    void accept();
    void sendPeriodicHeartbeats();
    void sendHeartbeat(bool isRetry);
    void updateHasLeft();
    /// True with the given probability.
    bool randomChance(double rate);

    boost::asio::io_context& m_io;
    BackendServerSettings m_settings;
    LineLog& m_log;
    EntryClient m_entries;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_heartbeatTimer;
    boost::asio::steady_timer m_leaveTimer;
    pcg32 m_random;

    uint64_t m_incarnation { 0 };
    uint64_t m_sequence { 0 };
    uint32_t m_inFlight { 0 };
    /// Requests whose response is not completely written.
    uint32_t m_pendingResponses { 0 };
    bool m_isLeaving { false };
    bool m_hasGraceEnded { false };
    bool m_hasLeft { false };
};

} // namespace hickoryknot
