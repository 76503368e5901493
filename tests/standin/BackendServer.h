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
    /// Port 0 takes any free port.
    Endpoint listen;
    std::vector<Endpoint> entries;
    uint32_t slots { 8 };
    uint32_t connectionLimit { 60 };
    /// Time that one request occupies a slot.
    Duration work { 5ms };
    /// Extra time between the end of the work and the answer; the slot is free meanwhile.
    Duration late { 0 };
    /// Share of requests answered with 503 and X-Not-Started.
    double failRate { 0 };
    /// Share of requests whose connection is closed halfway through the work.
    double vanishRate { 0 };
    /// Sends each answer a second time over the same connection.
    bool answersTwice { false };
    /// 0 means never.
    Duration leaveAfter { 0 };
    /// How long it still takes work after it has announced that it leaves.
    Duration leaveGrace { 3s };
    uint64_t seed { 1 };
};

/// Stand-in for a backend server: announces itself, answers `POST /work`, and logs `start` and `finish` with request id
/// and server id, and `leaving` with the server id.
class BackendServer {
public:
    BackendServer(boost::asio::io_context&, BackendServerSettings, LineLog&);
    ~BackendServer();

    /// Throws boost::system::system_error if the port cannot be bound.
    void start();

    /// Announces that it leaves, serves on for the grace time, and finishes what is in progress.
    void leave();

    bool hasLeft() const { return m_hasLeft; }
    uint16_t port() const { return m_settings.listen.port; }

private:
    class Connection;
    friend class Connection;

    void accept();
    void announceRegularly();
    void announce(bool isRetry);
    void checkLeft();
    /// True with the given probability.
    bool happens(double rate);

    boost::asio::io_context& m_io;
    BackendServerSettings m_settings;
    LineLog& m_log;
    EntryClient m_entries;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_announceTimer;
    boost::asio::steady_timer m_leaveTimer;
    pcg32 m_random;

    uint64_t m_incarnation { 0 };
    uint64_t m_sequence { 0 };
    uint32_t m_inFlight { 0 };
    /// Answers not yet written in full.
    uint32_t m_unanswered { 0 };
    bool m_isLeaving { false };
    bool m_isGraceOver { false };
    bool m_hasLeft { false };
};

} // namespace hickoryknot
