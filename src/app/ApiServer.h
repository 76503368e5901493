#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "app/HostLinks.h"
#include "app/HostSettings.h"
#include "net/HttpServer.h"

namespace hickoryknot {

class ControlLink;
class ControlPlane;
class NetworkLoop;
class ReportDuty;
class RequestPath;
struct CancelBatch;
struct Redirect;

/// The HTTP interface of one entry host: checks requests, hands them to their owner and writes answers. For the network
/// thread.
class ApiServer {
public:
    using StartDrain = std::function<void()>;

    ApiServer(NetworkLoop&, const HostSettings&, HostLinks&, ControlLink&, RequestPath&, ReportDuty&, StartDrain);
    ~ApiServer();

    /// Unavailable: the address cannot be bound.
    Expected<void> start() { return m_server.start(); }

    /// Closes each connection after its request in progress.
    void drain() { m_server.drain(); }

    /// Refuses new work from now on; questions are still answered.
    void refuseNewWork() { m_refusesNewWork = true; }

    size_t requestsInProgress() const { return m_server.requestsInProgress(); }
    uint16_t port() const { return m_server.port(); }

private:
    using Responder = HttpServer::Responder;

    /// What a handler gets: the request and the parts of its target.
    struct Call {
        HttpRequest request;
        /// The path segment that the route leaves open, such as a job id.
        std::string argument;
        std::string query;
        Responder respond;
    };

    /// One line of the routing table. A `*` in the path stands for one segment.
    struct Route {
        std::string_view method;
        std::string_view path;
        void (ApiServer::*handle)(Call&);
        /// New work is refused while the host drains.
        bool isNewWork;
    };

    static const Route routes[];

    void dispatch(HttpRequest, Responder);

    void handleRequest(Call&);
    void handleForwardedRequest(Call&);
    void handleSubmitJob(Call&);
    void handleJobStatus(Call&);
    void handleJobWait(Call&);
    void handleJobExplain(Call&);
    void handleJobCancel(Call&);
    void handleCancelBatch(Call&);
    void handleTableGet(Call&);
    void handleTableCheck(Call&);
    void handleTableSet(Call&);
    void handleWorkerHeartbeat(Call&);
    void handleServerHeartbeat(Call&);
    void handleHosts(Call&);
    void handleWorkers(Call&);
    void handleServers(Call&);
    void handleDrain(Call&);
    void handleHealth(Call&);
    void handleMetrics(Call&);
    void handleBurn(Call&);
    void handleBurnBuckets(Call&);
    void handleLogMessage(Call&);
    void handleProposal(Call&);
    void handlePeer(Call&);
    void handleZoneExchange(Call&);

    struct ZoneLists;
    using TakeList = std::function<void(const std::string&)>;
    using OwnList = std::function<void(const TakeList&)>;
    struct BurnGather;

    void answerRequest(Call&, bool isFromPeer);
    void cancelJobs(const Call&, CancelBatch);
    void listOfZones(const Call&, const char* key, const OwnList&);
    void updateCounters();

    /// False: the body was malformed and the error has been answered.
    template <typename T> bool isAccepted(const Call&, const Expected<T>& message);

    /// Answers with the value, or passes the request on to the place that knows; called on the control thread.
    template <typename T, typename Encode>
    void replyOrRedirect(const Call&, const Expected<T>&, const std::optional<Redirect>&, Duration deadline, Encode);

    /// Runs work on the control thread, or answers that the host has too much to do.
    void askControl(const Responder&, std::function<void(ControlPlane&, TimePoint, WallTime)> work);

    /// Answers from another thread.
    void reply(const Responder&, HttpResponse);

    NetworkLoop& m_loop;
    HostSettings m_settings;
    HostLinks& m_links;
    ControlLink& m_control;
    RequestPath& m_requests;
    ReportDuty& m_report;
    StartDrain m_startDrain;
    HttpServer m_server;
    bool m_refusesNewWork { false };
};

} // namespace hickoryknot
