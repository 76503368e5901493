#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>

#include "InvariantChecker.h"
#include "net/HttpClient.h"

namespace hickoryknot::soak {

/// Operators that set new table versions, repeat calls without a definite response at other hosts, and read the table
/// back.
class SoakOperator {
public:
    SoakOperator(boost::asio::io_context&, InvariantChecker&, std::vector<Endpoint> hosts, uint64_t seed);
    ~SoakOperator();

    /// Called about every 10 ms.
    void advance(TimePoint now);
    void stopChanges() { m_isEnding = true; }

    /// True once the last acknowledged version, or a later one that was sent, has been read back unchanged.
    bool isReadBack() const { return m_isEnding && m_isReadBack; }
    bool hasAcknowledged() const { return m_acknowledged > 0; }

private:
    static std::string document(uint64_t version);
    void putTable(TimePoint now);
    void readTable(TimePoint now);

    boost::asio::io_context& m_io;
    InvariantChecker& m_checker;
    std::vector<Endpoint> m_hosts;
    std::mt19937_64 m_random;
    HttpClient m_client;
    uint64_t m_version { 1 };
    uint64_t m_acknowledged { 0 };
    bool m_isPutInFlight { false };
    bool m_isReadInFlight { false };
    bool m_isEnding { false };
    bool m_isReadBack { false };
    size_t m_host { 0 };
    TimePoint m_nextPut;
    TimePoint m_nextRead;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot::soak
