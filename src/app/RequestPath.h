#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "app/HostLinks.h"
#include "app/HostSettings.h"
#include "app/StartSample.h"
#include "core/Outcome.h"
#include "membership/ServerRegistry.h"
#include "net/HttpClient.h"
#include "protocol/RequestSubmission.h"
#include "routing/Router.h"
#include "routing/SlotAllocator.h"
#include "routing/SlotLeaseHolder.h"
#include "routing/ZoneExchange.h"

namespace hickoryknot {

class ControlLink;
class NetworkLoop;

/// Short requests on one entry host: carries out the router's actions, keeps the backend servers of the zone and this
/// host's share of their slots. For the network thread.
class RequestPath {
public:
    using Reply = std::function<void(Outcome)>;
    using RecordStarts = std::function<void(std::vector<StartSample>)>;

    RequestPath(NetworkLoop&, const HostSettings&, HostLinks&, ControlLink&, RecordStarts);
    ~RequestPath();

    void setState(const PublishedState&, TimePoint now);

    void submit(RequestSubmission, SubmitOrigin, TimePoint now, Reply);

    /// A heartbeat of a backend server of this zone.
    void serverHeard(const ServerHeartbeat&, TimePoint now);

    ZoneExchangeResponse exchange(const ZoneExchangeRequest&, TimePoint now);

    /// Looks after timeouts and tells the zone's other hosts. Every 50 ms.
    void tick(TimePoint now);

    void startDraining();

    size_t requestsInProgress() const { return m_router.requestsInProgress(); }
    const RouterCounts& counts() const { return m_router.counts(); }

    /// Servers of this zone as a JSON list for operators.
    std::string serversJson(TimePoint now) const;

private:
    void run(RouterActions&);
    void perform(const SendToServer&);
    void perform(const RecordStart&);
    void perform(const ForwardToZone&);
    void perform(const RecordOutcome&);
    void perform(const RespondToCaller&);

    void refreshServers(TimePoint now);
    void refreshShares(TimePoint now);
    void grantOwnAsk(const SlotRequest&, TimePoint now);
    void exchangeWithZone(TimePoint now);
    void reportServerEvents();
    void armTimer(TimePoint now);
    void flushSamples();

    NetworkLoop& m_loop;
    HostSettings m_settings;
    HostLinks& m_links;
    ControlLink& m_control;
    RecordStarts m_recordStarts;
    HttpClient m_serverClient;
    ServerRegistry m_registry;
    Router m_router;
    SlotLeaseHolder m_slotLease;
    SlotAllocator m_slotShares;
    boost::asio::steady_timer m_timer;
    std::unordered_map<RequestHandle, Reply> m_replies;
    std::vector<StartSample> m_samples;
    std::map<RowName, Duration> m_targetWaits;
    uint64_t m_tableVersion { 0 };
    uint64_t m_registryRevision { UINT64_MAX };
    std::optional<uint64_t> m_granterTerm;
    TimePoint m_nextExchange { TimePoint::min() };
    TimePoint m_nextRefresh { TimePoint::min() };
};

} // namespace hickoryknot
