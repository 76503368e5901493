#include "app/HostProcess.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "app/EventLog.h"
#include "app/SteadyTime.h"
#include "protocol/ErrorCodec.h"
#include "protocol/ForwardedProposal.h"
#include "protocol/ForwardedProposalCodec.h"
#include "protocol/PeerMessageCodec.h"
#include "protocol/PeerReplyCodec.h"
#include "protocol/ProposalResult.h"
#include "protocol/ProposalResultCodec.h"

namespace hickoryknot {

namespace {

constexpr Duration controlPeriod = 10ms;
constexpr Duration networkPeriod = 50ms;
constexpr Duration drainCheckPeriod = 20ms;
constexpr Duration peerDeadline = 1s;
/// Grace period after the last request, so that a caller whose connection was just accepted still gets a rejection.
constexpr Duration drainGrace = 200ms;

} // namespace

HostProcess::HostProcess(const HostSettings& settings)
    : m_settings(settings)
    , m_storage({ .name = "storage", .ringCapacity = 64, .period = 1s }, [] {})
    , m_control({ .name = "control", .ringCapacity = 8192, .period = controlPeriod },
          [this] {
              if (m_plane)
                  m_plane->tick(steadyNow(), wallNow());
          })
    , m_network(8192)
    , m_hostClient(m_network.context())
    , m_requests(m_network, m_settings, m_hostClient, m_controlQueue,
          [this](std::vector<StartSample> samples) { m_report.record(std::move(samples)); })
    , m_api(m_network, m_settings, m_hostClient, m_controlQueue, m_requests, m_report, [this] { startDraining(); })
    , m_networkTimer(m_network.context())
    , m_drainTimer(m_network.context())
{
}

HostProcess::~HostProcess()
{
    // Threads are stopped before the threads they wait for: control may wait for network, storage for control.
    m_control.stop();
    m_storage.stop();
    m_network.stop();
    m_report.stop();
}

Expected<void> HostProcess::start()
{
    auto plane = ControlPlane::open(m_settings, makeDependencies(), steadyNow());
    if (!plane)
        return tl::unexpected(plane.error());
    m_plane = std::move(*plane);
    m_controlQueue.connect(m_control, *m_plane);
    if (auto started = m_api.start(); !started) {
        EventLog::write(EventLevel::Error, Event::ListenFailed, started.error().message);
        return started;
    }
    watchSignals();
    scheduleNetworkTick();
    m_report.start();
    m_storage.start();
    m_network.start();
    m_control.start();
    EventLog::write(EventLevel::Info, Event::HostStarted, "host started",
        { { "zone", m_settings.zone.value() },
            { "address", m_settings.listen.address + ":" + std::to_string(m_api.port()) } });
    return {};
}

void HostProcess::runUntilStopped()
{
    m_hasStopped.wait(false);
    EventLog::write(EventLevel::Info, Event::HostStopped, "all requests in progress were answered");
}

ControlPlane::Dependencies HostProcess::makeDependencies()
{
    return {
        .sendLogMessage =
            [this](const HostId& host, const std::string& group, std::string bytes) {
                m_network.post([this, host, target = "/internal/log/" + group, bytes = std::move(bytes)]() mutable {
                    m_hostClient.sendLogMessage(host, std::move(target), std::move(bytes));
                });
            },
        .sendProposal
        = [this](const HostId& host, const std::string& group, const std::string& payload, Duration deadline,
              auto completion) { sendProposal(host, group, payload, deadline, std::move(completion)); },
        .sendPeerMessage = [this](const HostId& host, const PeerMessage& message,
                               auto completion) { sendPeerMessage(host, message, std::move(completion)); },
        .postToControl = [this](std::function<void()> work) { m_control.post(std::move(work)); },
        .publish =
            [this](std::shared_ptr<const PublishedState> state) {
                m_network.post([this, state = std::move(state)] {
                    m_hostClient.setState(state);
                    m_requests.setState(*state, steadyNow());
                });
            },
        .recordStart = [this](StartSample sample) { m_report.record({ std::move(sample) }); },
        .storage = m_storage,
    };
}

void HostProcess::sendProposal(const HostId& host, const std::string& group, std::string payload, Duration deadline,
    std::function<void(Expected<std::string>, bool wasSent)> completion)
{
    HttpRequest request { .method = "POST",
        .target = "/internal/propose/" + group,
        .headers = {},
        .body = encodeForwardedProposal({ .payload = std::move(payload), .deadline = deadline }) };
    m_network.post([this, host, request = std::move(request), deadline, completion = std::move(completion)]() mutable {
        m_hostClient.send(host, std::move(request), deadline, [this, completion](const HttpClientResult& result) {
            Expected<std::string> value = makeError(ErrorCode::Unavailable, "no answer");
            bool mayHaveTakenEffect = result.wasSent;
            if (!result.response) {
                value = tl::unexpected(result.response.error());
            } else if (result.response->status != 200) {
                value = tl::unexpected(decodeError(result.response->body));
                // Draining and overloaded hosts reject the command before they propose it.
                const ErrorCode code = value.error().code;
                mayHaveTakenEffect
                    = code != ErrorCode::NotLeader && code != ErrorCode::Draining && code != ErrorCode::Overloaded;
            } else if (auto decoded = decodeProposalResult(result.response->body)) {
                value = std::move(decoded->result);
            } else {
                value = tl::unexpected(decoded.error());
            }
            // If the queue of the control thread is full, the proposal fails at its deadline.
            m_control.tryPost(
                [completion, value = std::move(value), mayHaveTakenEffect] { completion(value, mayHaveTakenEffect); });
        });
    });
}

void HostProcess::sendPeerMessage(
    const HostId& host, const PeerMessage& message, std::function<void(TimePoint, Expected<PeerReply>)> completion)
{
    m_network.post([this, host, body = encodePeerMessage(message), completion = std::move(completion)]() mutable {
        // Leases start at this time; a time before the actual send only shortens them.
        const TimePoint sentAt = steadyNow();
        HttpRequest request { .method = "POST", .target = "/internal/peer", .headers = {}, .body = std::move(body) };
        m_hostClient.send(
            host, std::move(request), peerDeadline, [this, sentAt, completion](const HttpClientResult& result) {
                Expected<PeerReply> reply = makeError(ErrorCode::Unavailable, "no answer");
                if (result.response && result.response->status == 200)
                    reply = decodePeerReply(result.response->body);
                m_control.tryPost([completion, sentAt, reply = std::move(reply)] { completion(sentAt, reply); });
            });
    });
}

void HostProcess::watchSignals()
{
    m_signals = std::make_unique<boost::asio::signal_set>(m_network.context(), SIGTERM, SIGINT);
    m_signals->async_wait([this](const boost::system::error_code& error, int) {
        if (!error)
            startDraining();
    });
}

void HostProcess::scheduleNetworkTick()
{
    m_networkTimer.expires_after(networkPeriod);
    m_networkTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        m_requests.tick(steadyNow());
        m_api.logClientLimits(steadyNow());
        scheduleNetworkTick();
    });
}

void HostProcess::startDraining()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    EventLog::write(EventLevel::Info, Event::HostStopping, "graceful shutdown started");
    m_drainDeadline = steadyNow() + m_settings.drainBound;
    m_api.rejectNewWork();
    m_requests.startDraining();
    m_controlQueue.tryPost([](ControlPlane& plane, TimePoint now, WallTime) { plane.startDraining(now); });
    continueDraining();
}

void HostProcess::continueDraining()
{
    const TimePoint now = steadyNow();
    m_controlQueue.tryPost([this](ControlPlane& plane, TimePoint, WallTime) {
        m_hasTransferredLeadership = plane.hasTransferredLeadership();
    });
    const bool isIdle = m_requests.requestsInProgress() == 0 && m_hasTransferredLeadership;
    const bool isOverdue = now >= m_drainDeadline;
    if (isIdle && !m_isClosing) {
        m_isClosing = true;
        m_closingSince = now;
        m_api.drain();
    }
    const bool hasRespondedToAll = m_isClosing && m_api.requestsInProgress() == 0 && now - m_closingSince >= drainGrace;
    if (hasRespondedToAll || isOverdue) {
        m_hasStopped = true;
        m_hasStopped.notify_all();
        return;
    }
    m_drainTimer.expires_after(drainCheckPeriod);
    m_drainTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            continueDraining();
    });
}

} // namespace hickoryknot
