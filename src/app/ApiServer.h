#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "app/ClientLimitReport.h"
#include "app/HostClient.h"
#include "app/HostSettings.h"
#include "net/HttpServer.h"

namespace hickoryknot {

class ControlQueue;
class ControlPlane;
class NetworkLoop;
class ReportThread;
class RequestDispatcher;
struct CancelBatch;
struct Redirect;

/// The HTTP API of an entry host: validates requests, passes them to the responsible service and sends responses. Not
/// thread-safe: used only on the network thread.
class ApiServer {
public:
    using StartDrain = std::function<void()>;

    ApiServer(
        NetworkLoop&, const HostSettings&, HostClient&, ControlQueue&, RequestDispatcher&, ReportThread&, StartDrain);
    ~ApiServer();

    /// Unavailable: the address cannot be bound.
    Expected<void> start() { return m_server.start(); }

    /// Closes each connection after its current request.
    void drain() { m_server.drain(); }

    /// Rejects new work from now on; queries are still served.
    void rejectNewWork() { m_rejectsNewWork = true; }

    /// Writes to the log what was done about clients that exceed the limits. Call periodically.
    void logClientLimits(TimePoint now) { m_clientLimits.logChanges(now); }

    size_t requestsInProgress() const { return m_server.requestsInProgress(); }
    uint16_t port() const { return m_server.port(); }

private:
    using Responder = HttpServer::Responder;

    /// Arguments of a handler: the request and the parts of its target.
    struct Call {
        HttpRequest request;
        /// The path segment matched by `*`, such as a job id.
        std::string argument;
        std::string query;
        Responder respond;
    };

    /// An entry of the routing table. A `*` in the path matches one segment.
    struct Route {
        std::string_view method;
        std::string_view path;
        void (ApiServer::*handle)(Call&);
        /// True for new work, which is rejected while the host is draining.
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
    using ListCallback = std::function<void(const std::string&)>;
    using ListLocal = std::function<void(const ListCallback&)>;
    struct BurnReportGather;

    void submitRequest(Call&, bool isFromPeer);
    void cancelJobs(const Call&, CancelBatch);
    void gatherZoneLists(const Call&, const char* key, const ListLocal&);
    void updateCounters();

    /// False: the body is malformed and the error response has been sent.
    template <typename T> bool isAccepted(const Call&, const Expected<T>& message);

    /// Responds with the value, or forwards the request to the host given by the redirect. Called on the control
    /// thread.
    template <typename T, typename Encode>
    void replyOrRedirect(const Call&, const Expected<T>&, const std::optional<Redirect>&, Duration deadline, Encode);

    /// Posts work to the control thread, or responds with Overloaded if its queue is full.
    void postToControl(const Responder&, std::function<void(ControlPlane&, TimePoint, WallTime)> work);

    /// Sends the response on the network thread; called from other threads.
    void reply(const Responder&, HttpResponse);

    NetworkLoop& m_loop;
    HostSettings m_settings;
    HostClient& m_hostClient;
    ControlQueue& m_control;
    RequestDispatcher& m_requests;
    ReportThread& m_report;
    StartDrain m_startDrain;
    std::shared_ptr<MemoryBudget> m_memory;
    HttpServer m_server;
    ClientLimitReport m_clientLimits;
    bool m_rejectsNewWork { false };
};

} // namespace hickoryknot
