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

/// One open-loop load run: each send has its time in advance, whether or not earlier answers have come.
class LoadRun {
public:
    /// Throws std::ios_base::failure if the log file cannot be opened.
    LoadRun(boost::asio::io_context&, LoadSettings);

    /// Turns the loop until every answer has come or its deadline has passed.
    LoadReport run();

private:
    using Clock = std::chrono::steady_clock;

    /// One request or job over all its sends.
    struct Item {
        std::string id;
        bool isJob { false };
        bool isRepeatable { true };
        uint32_t attempt { 1 };
        size_t entry { 0 };
        Clock::time_point scheduledAt;
    };

    void sendDue();
    /// Sends what a stream of `perSecond` has due by now, of which `sent` went before.
    void sendDue(double perSecond, uint64_t& sent, bool isJob);
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
    uint64_t m_open { 0 };
    LoadReport m_report;
};

} // namespace hickoryknot
