#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fstream>
#include <pcg_random.hpp>

#include "app/LoadReport.h"
#include "app/LoadSettings.h"
#include "net/HttpClient.h"

namespace hickoryknot {

/// An open-loop load run: requests are sent at scheduled times, independently of earlier responses.
class LoadRun {
public:
    /// Throws std::ios_base::failure if the log file cannot be opened.
    LoadRun(boost::asio::io_context&, LoadSettings);

    /// Runs the event loop until every request has a response or its deadline has passed.
    LoadReport run();

private:
    using Clock = std::chrono::steady_clock;

    /// A request or job, including its resends.
    struct Item {
        std::string id;
        bool isJob { false };
        bool isRepeatable { true };
        uint32_t attempt { 1 };
        size_t entry { 0 };
        Clock::time_point scheduledAt;
    };

    void sendScheduled();
    /// Sends all items scheduled until now at a rate of `perSecond`; `sent` is the number already sent.
    void sendScheduled(double perSecond, uint64_t& sent, bool isJob);
    void send(Item);
    std::string encode(const Item&) const;
    void finish(Item, const HttpClientResult&);
    std::string nextId();
    bool isOver() const;

    boost::asio::io_context& m_io;
    const LoadSettings m_settings;
    const std::string m_body;
    HttpClient m_client;
    boost::asio::steady_timer m_timer;
    pcg32 m_random;
    std::ofstream m_log;

    Clock::time_point m_startedAt;
    uint64_t m_nextNumber { 0 };
    uint64_t m_inFlight { 0 };
    LoadReport m_report;
};

} // namespace hickoryknot
