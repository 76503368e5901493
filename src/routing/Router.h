#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Outcome.h"
#include "core/Time.h"
#include "membership/ServerRegistry.h"
#include "protocol/RequestSubmission.h"
#include "routing/RouterAction.h"
#include "routing/RouterSettings.h"
#include "routing/SlotLeaseHolder.h"
#include "table/Row.h"

namespace hickoryknot {

/// Who handed the request in. Requests of a peer are never forwarded again.
enum class SubmitOrigin : uint8_t {
    Caller,
    Peer,
};

/// Answer of the home group to a start-intended proposal.
enum class StartRecordResult : uint8_t {
    Granted, // Recorded; no earlier start of this id was recorded.
    Duplicate, // The id is already known; its outcome (or `unknown` while it runs) goes to the caller.
    Unavailable, // The home could not be asked or did not answer; the record may or may not exist.
};

/// Which rows a host serves. After `allRowsUntil` only rows with cutOff=keep are served, even if nobody says so: a
/// process that was paused must not serve under an expired table lease.
struct TableLeaseInfo {
    /// End of the table lease on this host's clock; TimePoint::max() for no limit, a past moment for "keep only".
    TimePoint expiry { TimePoint::max() };
    uint64_t tableVersion { 0 };
};

/// Another zone with a reachable entry host.
struct ForwardTarget {
    ZoneId zone;
    /// Free slots that the zone reported; each forwarded request uses one up until the next report.
    uint32_t freeSlots { 0 };
};

/// Counts since the start of the router.
struct RouterCounts {
    uint64_t submitted { 0 };
    uint64_t sends { 0 };
    uint64_t retries { 0 };
    uint64_t retriesDenied { 0 };
    uint64_t probes { 0 };
    uint64_t forwarded { 0 };
    uint64_t earlyNotRun { 0 };
    uint64_t lateResponsesDropped { 0 };
    uint64_t done { 0 };
    uint64_t notRun { 0 };
    uint64_t refused { 0 };
    uint64_t cancelled { 0 };
    uint64_t unknown { 0 };
};

/// Load of one class row on this host.
struct RowLoad {
    RowName row;
    uint32_t waiting { 0 };
    uint32_t running { 0 };
};

/// Routes short requests on one entry host. Not thread safe; deterministic for one seed and call sequence. Each call
/// appends actions that the host carries out in order.
///
/// Call sequence of a repeatable request:
///
///     Router router(settings);
///     RouterActions actions;
///     router.setTable(rows, 1, now, actions);
///     router.setServers(registry.views(zone), now, actions);
///     router.setShares(lease.shares(views), lease.leasedUntil(), now, actions);
///     RequestHandle ticket = router.submit(request, SubmitOrigin::Caller, now, actions);   // SendToServer{ticket, 1,
///     ...} router.serverAnswered(ticket, 1, body, now, actions);                         // Answer{ticket, done}
///
/// A request that is not repeatable goes through the home group:
///
///     submit()                                   // RecordStart{ticket, server}
///     intentRecorded(ticket, Granted, {}, now)   // SendToServer{ticket, 1}
///     serverAnswered(ticket, 1, body, now)       // RecordOutcome{ticket, done, isAwaited}
///     outcomeRecorded(ticket, now)               // Answer{ticket, done}
///
/// The host calls tick() at nextTick() at the latest, and before any other call after it was paused.
///
/// Outcomes: `not run` is answered only if no send of this submission can have started and it is the caller's first
/// attempt (or the home group granted the start); otherwise a request without an answer ends as `unknown`.
/// Reason codes: ok, no_server, queue_full, wait_bound, deadline, host_full, draining, cut_off, max_running,
/// row_removed, unknown_row, server_failed, home_unreachable, forward_failed, caller_gone.
class Router {
public:
    explicit Router(RouterSettings = {});
    ~Router();
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    /// Puts a table version in force. Waiting requests of removed rows are answered `not run`.
    void setTable(const std::vector<Row>&, uint64_t tableVersion, TimePoint now, RouterActions&);

    /// Servers of the own zone. Pass new freshness times at least every 500 ms.
    void setServers(const std::vector<TrackedServer>&, TimePoint now, RouterActions&);

    /// This host's shares; leased parts count only before `leasedUntil`.
    void setShares(const std::vector<ServerShare>&, TimePoint leasedUntil, TimePoint now, RouterActions&);

    /// Other zones in order of preference; empty when none can be reached.
    void setForwardTargets(std::vector<ForwardTarget>);

    /// Position of this host among the cell's live entry hosts, from 0; splits maxRunning.
    void setHostRank(uint32_t rank, uint32_t hosts);

    void setTableLease(const TableLeaseInfo&, TimePoint now, RouterActions&);

    /// Refuses new requests; those already taken are finished.
    void startDraining();

    RequestHandle submit(RequestSubmission, SubmitOrigin, TimePoint now, RouterActions&);

    void onServerResponse(RequestHandle, uint32_t attempt, std::string body, TimePoint now, RouterActions&);
    /// 503 with X-Not-Started: the request surely did not start.
    void onServerRejection(RequestHandle, uint32_t attempt, TimePoint now, RouterActions&);
    /// Connection failure, timeout or any other answer than 200. `wasSent` is false only if no byte of the request left
    /// this host.
    void onSendFailure(RequestHandle, uint32_t attempt, bool wasSent, TimePoint now, RouterActions&);

    /// `recorded` is used with Duplicate only.
    void onStartRecordResult(RequestHandle, StartRecordResult, Outcome recorded, TimePoint now, RouterActions&);
    /// Told for RecordOutcome with isAwaited, also when the home could not be reached.
    void onOutcomeRecordFinished(RequestHandle, TimePoint now, RouterActions&);

    void onForwardResponse(RequestHandle, Outcome, TimePoint now, RouterActions&);
    void onForwardFailure(RequestHandle, bool wasSent, TimePoint now, RouterActions&);

    /// The caller's connection closed. A waiting request is cancelled; one in progress is finished for its record.
    void onCallerDisconnect(RequestHandle, TimePoint now, RouterActions&);

    void tick(TimePoint now, RouterActions&);
    /// Earliest moment at which tick() has something to do.
    std::optional<TimePoint> nextTick() const;

    /// Requests without an Answer yet.
    size_t requestsInProgress() const;
    bool isDraining() const;

    /// Waiting and running requests, for SlotLeaseHolder::makeAsk.
    uint32_t demand() const;
    std::vector<ServerUsage> serverUsage() const;
    /// Slots of own shares that are free at `now`.
    uint32_t freeSlots(TimePoint now) const;
    std::vector<RowLoad> rowLoads() const;
    /// Servers limited to probes because of their failure scores.
    std::vector<ServerId> serversOnProbation() const;
    const RouterCounts& counts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hickoryknot
