#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "InvariantChecker.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

namespace hickoryknot::soak {

/// Simulates all workers and the permission service, following the platform's specification. Workers report to control
/// hosts, serve requests over HTTP, and can be made to fail.
class SoakWorkers {
public:
    SoakWorkers(boost::asio::io_context&, InvariantChecker&, size_t count, uint64_t seed);
    ~SoakWorkers();

    /// Sets the hosts that workers may report to.
    void setControlHosts(std::vector<Endpoint> hosts) { m_controlHosts = std::move(hosts); }
    Endpoint permissionService() const { return m_permissionEndpoint; }

    /// Called about every 10 ms: advances runs and leases, responds to polls, checks the invariants.
    void advance(TimePoint now);

    /// A worker ends without leaving; its next incarnation starts under the same id after `downTime`.
    void crash(size_t worker, TimePoint now, Duration downTime);
    /// Until this time, a share of the start and stop requests gets no response and is executed 2 to 6 s later.
    void delayRunRequests(double share, TimePoint until);
    /// Until this time, a worker neither receives requests nor reports.
    void isolate(size_t worker, TimePoint until);
    void endFaults();

    size_t size() const { return m_workers.size(); }
    uint64_t lapses() const;

private:
    struct PendingPoll;
    struct Worker {
        std::unique_ptr<HttpServer> server;
        Endpoint endpoint;
        std::vector<PendingPoll> pendingPolls;
        TimePoint downUntil;
        TimePoint isolatedUntil;
        TimePoint nextReport;
        bool isDown { false };
        uint64_t sequence { 0 };
        Endpoint reportEndpoint;
        std::set<workflow::RunRef> recordedRuns; // Runs whose start was passed to the checker.
    };

    void serve(size_t worker, const HttpRequest&, const HttpServer::Responder&);
    void handleRunRequest(size_t worker, const HttpRequest&, const HttpServer::Responder&, TimePoint now);
    void handlePoll(size_t worker, const HttpRequest&, const HttpServer::Responder&, TimePoint now);
    void respondToPolls(size_t worker, TimePoint now);
    void recordStarts(size_t worker, const std::string& command, TimePoint now);
    void recordEnds(size_t worker, TimePoint now);
    void report(size_t worker, TimePoint now);
    void servePermission(const HttpRequest&, const HttpServer::Responder&);
    static bool isGranted(const std::string& step, const std::string& worker);
    std::string permissionTokenFor(const std::string& step, const std::string& worker) const;
    std::string startTimeOf(size_t worker) const;
    void runAfter(Duration, std::function<void()>);

    boost::asio::io_context& m_io;
    InvariantChecker& m_checker;
    std::mt19937_64 m_random;
    HttpClient m_client;
    std::vector<std::unique_ptr<workflow::SimulatedWorker>> m_models;
    std::vector<Worker> m_workers;
    std::vector<Endpoint> m_controlHosts;
    std::unique_ptr<HttpServer> m_permission;
    Endpoint m_permissionEndpoint;
    TimePoint m_lastAdvance;
    /// Whether responses to start and stop requests name the incarnation; by the seed.
    bool m_namesIncarnation;
    double m_delayedShare { 0 };
    TimePoint m_delayUntil;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot::soak
