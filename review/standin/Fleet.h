#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Record.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

namespace hickoryknot::review {

/// How a task behaves on every minion.
struct TaskBehaviour {
    Duration workTime { 1s };
    bool fails { false };
};

struct FleetOptions {
    size_t minions { 6 };
    int64_t cpu { 16000 };
    int64_t memMb { 32768 };
    std::string service { "svc-render" };
    /// Kind of each minion, its first label.
    std::function<std::string(size_t minion)> kindOf = [](size_t) { return std::string("a"); };
    std::function<TaskBehaviour(const std::string& task)> behaviourOf;
    /// Tells whether a start on this task's queue needs a ticket.
    std::function<bool(const std::string& task)> needsTicket = [](const std::string&) { return false; };
};

/// Minions and the advice service as PROTOCOL.md describes them. A minion doesn't guard its capacity, keeps the highest
/// fence number, kills its runs when its lease ends, and lists ends until `lastSeen` reaches them, 500 at a time.
class Fleet {
public:
    Fleet(boost::asio::io_context&, Record&, FleetOptions);
    ~Fleet();

    void setControls(std::vector<Endpoint> controls) { m_controls = std::move(controls); }
    /// Ends work that is due, answers waiting polls and sends status reports.
    void advance();

    /// No path to and from the minion for this long; it runs on.
    void cut(size_t minion, Duration);
    /// The minion goes down with all that it runs and starts again, with the same id, after this time.
    void crash(size_t minion, Duration downTime);

    size_t size() const { return m_minions.size(); }
    std::string id(size_t minion) const;
    std::string address(size_t minion) const;
    int64_t born(size_t minion) const;
    /// The minion that runs this task; size() if there is none.
    size_t minionOf(const std::string& task) const;
    size_t running(size_t minion) const;
    size_t unconfirmedEnds(size_t minion) const;
    /// Unconfirmed ends that the minion has listed so far; 0 if none.
    bool areAllRegistered() const;
    Endpoint adviceEndpoint() const { return m_adviceEndpoint; }
    /// Starts that were rejected for want of a ticket.
    size_t ticketRejections() const { return m_ticketRejections; }

private:
    struct Minion;
    struct Run;

    void startServer(size_t index);
    void serve(size_t index, const HttpRequest&, const HttpServer::Responder&);
    void serveAdvice(const HttpRequest&, const HttpServer::Responder&);
    void handleStart(Minion&, const std::string& body, const HttpServer::Responder&);
    void handleStop(Minion&, const std::string& body, const HttpServer::Responder&);
    void handleHold(Minion&, const std::string& body, const HttpServer::Responder&);
    void answerPolls(Minion&);
    void endRun(Minion&, std::string task, const std::string& how);
    void checkLease(Minion&);
    void sendReport(size_t index);
    int64_t clockOf(const Minion&) const;

    boost::asio::io_context& m_io;
    Record& m_record;
    FleetOptions m_options;
    HttpClient m_client;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<Endpoint> m_controls;
    std::unique_ptr<HttpServer> m_advice;
    Endpoint m_adviceEndpoint;
    size_t m_ticketRejections { 0 };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot::review
