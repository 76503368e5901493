#pragma once

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "app/ApiServer.h"
#include "app/ControlPlane.h"
#include "app/ControlQueue.h"
#include "app/HostClient.h"
#include "app/HostSettings.h"
#include "app/NetworkLoop.h"
#include "app/ReportThread.h"
#include "app/RequestDispatcher.h"
#include "app/WorkQueueThread.h"

namespace hickoryknot {

/// An entry host process: the network, control, storage and report threads, connected by bounded ring buffers. The
/// network thread never waits for another thread; control may wait for network, and storage for control.
class HostProcess {
public:
    explicit HostProcess(const HostSettings&);
    ~HostProcess();

    /// Opens the data folder, starts listening and starts all threads. Errors: see ControlPlane::open() and
    /// HttpServer::start().
    Expected<void> start();

    /// Blocks until a graceful shutdown, triggered by SIGTERM, SIGINT or a drain request, has completed.
    void runUntilStopped();

private:
    ControlPlane::Dependencies makeDependencies();
    void sendProposal(const HostId&, const std::string& group, std::string payload, Duration deadline,
        std::function<void(Expected<std::string>, bool wasSent)>);
    void sendPeerMessage(const HostId&, const PeerMessage&, std::function<void(TimePoint, Expected<PeerReply>)>);
    void watchSignals();
    void startDraining();
    void continueDraining();
    void scheduleNetworkTick();

    HostSettings m_settings;
    ReportThread m_report;
    WorkQueueThread m_storage;
    WorkQueueThread m_control;
    NetworkLoop m_network;
    ControlQueue m_controlQueue;
    HostClient m_hostClient;
    RequestDispatcher m_requests;
    ApiServer m_api;
    std::unique_ptr<ControlPlane> m_plane;
    boost::asio::steady_timer m_networkTimer;
    boost::asio::steady_timer m_drainTimer;
    std::unique_ptr<boost::asio::signal_set> m_signals;
    TimePoint m_drainDeadline;
    TimePoint m_closingSince;
    bool m_isDraining { false };
    bool m_isClosing { false };
    std::atomic<bool> m_hasTransferredLeadership { false };
    std::atomic<bool> m_hasStopped { false };
};

} // namespace hickoryknot
