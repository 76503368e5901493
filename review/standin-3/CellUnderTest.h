#pragma once

#include <memory>
#include <string>

#include "Cell.h"
#include "Consumer.h"
#include "Fleet.h"

namespace review {

/// A small deployment with its configuration acknowledged and all minions reported.
class CellUnderTest {
public:
    CellUnderTest(const std::string& program, size_t minions, Record& record, bool hasLinks = false)
        : m_record(record)
        , cell(program, record, hasLinks)
        , consumer(cell, record)
    {
        std::vector<Address> addresses;
        for (size_t i = 0; i < minions; ++i)
            addresses.push_back({ cell.standinIp(i), cell.standinPort() });
        cell.startAll();
        m_isReady = consumer.putConfig(smallConfig(1), startTimeoutMs);
        fleet = std::make_unique<Fleet>(
            std::move(addresses), cell.controlAddresses(), [this](const std::string& line) { m_record.write(line); });
        m_isReady = m_isReady && consumer.waitUntilReady(startTimeoutMs);
        const int64_t until = steadyMs() + startTimeoutMs;
        while (m_isReady && fleet->acknowledged() < minions && steadyMs() < until)
            sleepMs(50);
        m_isReady = m_isReady && fleet->acknowledged() == minions;
        // Machines are in touch once contactMs have passed since the start.
        sleepMs(3500);
    }

    static void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
    bool isReady() const { return m_isReady; }
    /// The control host that minions are told to report to.
    Cell::Host* leader()
    {
        const Address address = fleet->reportAddress();
        for (auto* host : cell.controls()) {
            if (host->ip == address.ip)
                return host;
        }
        return nullptr;
    }

private:
    static constexpr int64_t startTimeoutMs = 15'000;
    Record& m_record;
    bool m_isReady { false };

public:
    Cell cell;
    Consumer consumer;
    std::unique_ptr<Fleet> fleet;
};

} // namespace review
