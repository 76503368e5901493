#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "PromiseJudge.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

namespace hickoryknot::soak {

/// All workers and the permission service, as the platform's pages describe them, in this process. Workers tell control
/// hosts of themselves, take orders over HTTP, and can be made to misbehave.
class SoakWorkers {
public:
    SoakWorkers(boost::asio::io_context&, PromiseJudge&, size_t count, uint64_t seed);
    ~SoakWorkers();

    /// Where workers may tell of themselves.
    void setControlHosts(std::vector<Endpoint> hosts) { m_controlHosts = std::move(hosts); }
    Endpoint permissionService() const { return m_permissionEndpoint; }

    /// About every 10 ms: work is done, leases run out, waiting looks are answered, promises are checked.
    void advance(TimePoint now);

    /// A worker ends without a word; another life begins after `pause`.
    void crash(size_t worker, TimePoint now, Duration pause);
    /// Until then this share of the orders is answered by nothing and carried out 2 to 6 s later.
    void makeLate(double share, TimePoint until);
    /// Until then a worker takes nothing and says nothing.
    void isolate(size_t worker, TimePoint until);
    void calm();

    size_t size() const { return m_workers.size(); }
    uint64_t lapses() const;

private:
    struct WaitingLook;
    struct Worker {
        std::unique_ptr<HttpServer> server;
        Endpoint endpoint;
        std::vector<WaitingLook> looks;
        TimePoint downUntil;
        TimePoint isolatedUntil;
        TimePoint nextReport;
        bool isDown { false };
        uint64_t sequence { 0 };
        Endpoint reportTo;
        std::set<workflow::RunRef> known; // Runs that were told to the judge as started.
    };

    void serve(size_t worker, const HttpRequest&, const HttpServer::Responder&);
    void order(size_t worker, const HttpRequest&, const HttpServer::Responder&, TimePoint now);
    void look(size_t worker, const HttpRequest&, const HttpServer::Responder&, TimePoint now);
    void answerLooks(size_t worker, TimePoint now);
    void noteStarts(size_t worker, const std::string& command, TimePoint now);
    void noteEnds(size_t worker, TimePoint now);
    void report(size_t worker, TimePoint now);
    void servePermission(const HttpRequest&, const HttpServer::Responder&);
    static bool isGranted(const std::string& step, const std::string& worker);
    std::string ticketFor(const std::string& step, const std::string& worker) const;
    std::string bornOf(size_t worker) const;
    void later(Duration, std::function<void()>);

    boost::asio::io_context& m_io;
    PromiseJudge& m_judge;
    std::mt19937_64 m_random;
    HttpClient m_client;
    std::vector<std::unique_ptr<workflow::SimulatedWorker>> m_models;
    std::vector<Worker> m_workers;
    std::vector<Endpoint> m_controlHosts;
    std::unique_ptr<HttpServer> m_permission;
    Endpoint m_permissionEndpoint;
    TimePoint m_advancedAt;
    double m_lateShare { 0 };
    TimePoint m_lateUntil;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot::soak
