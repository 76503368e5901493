#pragma once

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "app/ApiServer.h"
#include "app/ControlLink.h"
#include "app/ControlPlane.h"
#include "app/DutyThread.h"
#include "app/HostLinks.h"
#include "app/HostSettings.h"
#include "app/NetworkLoop.h"
#include "app/ReportDuty.h"
#include "app/RequestPath.h"

namespace hickoryknot {

/// One entry host: the threads for network, control, storage and reporting, joined by bounded rings. The network thread
/// never waits for another one; control may wait for network, storage for control.
class HostProcess {
public:
    explicit HostProcess(const HostSettings&);
    ~HostProcess();

    /// Opens the data folder, listens and starts all threads. Errors as ControlPlane::open() and HttpServer::start().
    Expected<void> start();

    /// Waits for a planned stop, which SIGTERM, SIGINT or a drain request begins, and for its end.
    void runUntilStopped();

private:
    ControlPlane::Links makeLinks();
    void sendProposal(const HostId&, const std::string& group, std::string payload, Duration deadline,
        std::function<void(Expected<std::string>, bool wasSent)>);
    void sendPeerMessage(const HostId&, const PeerMessage&, std::function<void(TimePoint, Expected<PeerReply>)>);
    void watchSignals();
    void startDraining();
    void continueDraining();
    void scheduleNetworkTick();

    HostSettings m_settings;
    ReportDuty m_report;
    DutyThread m_storage;
    DutyThread m_control;
    NetworkLoop m_network;
    ControlLink m_controlLink;
    HostLinks m_links;
    RequestPath m_requests;
    ApiServer m_api;
    std::unique_ptr<ControlPlane> m_plane;
    boost::asio::steady_timer m_networkTimer;
    boost::asio::steady_timer m_drainTimer;
    std::unique_ptr<boost::asio::signal_set> m_signals;
    TimePoint m_drainDeadline;
    TimePoint m_closingSince;
    bool m_isDraining { false };
    bool m_isClosing { false };
    std::atomic<bool> m_hasHandedOver { false };
    std::atomic<bool> m_hasStopped { false };
};

} // namespace hickoryknot
