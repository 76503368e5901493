#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "Cell.h"
#include "Fleet.h"
#include "Record.h"

namespace hickoryknot::review {

/// The result of a script, as its exit status.
enum class Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/// Thrown where a case cannot run, with the reason.
class CannotRun : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A cell, its minions, its operator and a consumer on one event loop, played on the real clock.
class Scene {
public:
    Scene(const std::string& folder, const std::string& recordFile, FleetOptions);
    ~Scene();

    /// Starts the cell, gives it this configuration and waits until it takes jobs and all minions are registered.
    void start(const nlohmann::json& config);

    /// Runs the event loop until the condition holds or the time is over; returns whether it holds.
    bool runUntil(const std::function<bool()>& isDone, Duration timeout);
    void runFor(Duration duration)
    {
        runUntil([] { return false; }, duration);
    }

    /// Sends one request and waits for its response; status 0: none in time.
    HttpResponse call(const Endpoint&, HttpRequest, Duration timeout);
    /// The same at an entry process, for a consumer.
    HttpResponse consumer(size_t entry, const std::string& method, const std::string& path, const std::string& body,
        Duration timeout = 3s);
    /// Submits a job like a consumer: again with the same id after no response, a 502, 503 or 504, at the next entry.
    void submit(const std::string& path, const nlohmann::json& job);
    /// The job's state as an entry process shows it; `none` without a 200.
    std::string stateOf(const std::string& path);
    /// Sends a configuration until it is acknowledged.
    void putConfig(const nlohmann::json& config);
    /// Index of the control process that leads; controls if none is known.
    size_t leader();

    Cell& cell() { return *m_cell; }
    Fleet& fleet() { return *m_fleet; }
    Record& record() { return m_record; }

    /// A configuration with one queue at PREFIX `/render/`.
    static nlohmann::json makeConfig(uint64_t version);
    static constexpr const char* host = "orders.example";

private:
    boost::asio::io_context m_io;
    Record m_record;
    std::unique_ptr<Fleet> m_fleet;
    std::unique_ptr<Cell> m_cell;
    HttpClient m_client;
    size_t m_nextEntry { 0 };
};

} // namespace hickoryknot::review
