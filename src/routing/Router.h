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

/// Sender of the request. Requests of a peer are never forwarded again.
enum class SubmitOrigin : uint8_t {
    Caller,
    Peer,
};

/// Result of the start-intended proposal to the home group.
enum class StartRecordResult : uint8_t {
    Granted, // Recorded as the first start of this request id.
    Duplicate, // The id is already recorded; the caller gets its outcome, or `unknown` while it runs.
    Unavailable, // The home group was unreachable or did not respond; the record may or may not exist.
};

/// Table lease of this host. After its end the router serves only rows with cutOff=keep. The router checks the expiry
/// by itself, because a process that was paused must not serve under an expired table lease.
struct TableLeaseInfo {
    /// End of the table lease on this host's clock; TimePoint::max() if it never expires, a past time for no lease.
    TimePoint expiry { TimePoint::max() };
    uint64_t tableVersion { 0 };
};

/// Another zone with a reachable entry host, to which requests may be forwarded.
struct ForwardTarget {
    ZoneId zone;
    /// Free slots that the zone reported, less the requests forwarded since that report.
    uint32_t freeSlots { 0 };
};

/// Counters since the start of the router.
struct RouterCounts {
    uint64_t submitted { 0 };
    uint64_t sends { 0 };
    uint64_t retries { 0 };
    uint64_t retriesDenied { 0 };
    uint64_t probes { 0 };
    uint64_t forwarded { 0 };
    uint64_t earlyRejections { 0 };
    uint64_t lateResponsesDropped { 0 };
    uint64_t done { 0 };
    uint64_t notRun { 0 };
    uint64_t refused { 0 };
    uint64_t cancelled { 0 };
    uint64_t unknown { 0 };
};

/// Waiting and running requests of one class row on this host.
struct RowLoad {
    RowName row;
    uint32_t waiting { 0 };
    uint32_t running { 0 };
};

/// Routes short requests to backend servers on one entry host: admission control, queueing, server choice, retries and
/// forwarding to other zones. Not thread safe; deterministic for a given seed and call sequence. Each call appends
/// actions that the host executes in order.
///
/// Call sequence of a repeatable request:
///
///     Router router(settings);
///     RouterActions actions;
///     router.setTable(rows, 1, now, actions);
///     router.setServers(registry.servers(zone), now, actions);
///     router.setShares(lease.shares(servers), lease.leasedUntil(), now, actions);
///     RequestHandle handle = router.submit(request, SubmitOrigin::Caller, now, actions); // SendToServer{handle, 1}
///     router.onServerResponse(handle, 1, body, now, actions); // RespondToCaller{handle, done}
///
/// The start and outcome of a non-repeatable request are recorded with its home group:
///
///     submit()                                      // RecordStart{handle, server}
///     onStartRecordResult(handle, Granted, {}, now) // SendToServer{handle, 1}
///     onServerResponse(handle, 1, body, now)        // RecordOutcome{handle, done, isAwaited}
///     onOutcomeRecordFinished(handle, now)          // RespondToCaller{handle, done}
///
/// The host calls tick() no later than nextTick(), and before any other call after the process was paused.
///
/// Outcomes: `not run` is returned only if no send of this submission can have started and this is the caller's first
/// attempt (or the home group granted the start); otherwise a request without a response ends as `unknown`.
/// Reason codes: ok, no_server, queue_full, wait_bound, deadline, host_full, draining, cut_off, max_running,
/// row_removed, unknown_row, server_failed, home_unreachable, forward_failed, caller_gone.
class Router {
public:
    explicit Router(RouterSettings = {});
    ~Router();
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    /// Applies a table version. Waiting requests of removed rows end as `not run`.
    void setTable(const std::vector<Row>&, uint64_t tableVersion, TimePoint now, RouterActions&);

    /// Servers of this host's zone. Must be called at least every 500 ms with new `freshUntil` times.
    void setServers(const std::vector<TrackedServer>&, TimePoint now, RouterActions&);

    /// Slot shares of this host; the leased parts are valid only before `leasedUntil`.
    void setShares(const std::vector<ServerShare>&, TimePoint leasedUntil, TimePoint now, RouterActions&);

    /// Other zones in order of preference; empty if none is reachable.
    void setForwardTargets(std::vector<ForwardTarget>);

    /// Index of this host among the live entry hosts of the cell, among which maxRunning is divided.
    void setHostRank(uint32_t rank, uint32_t hosts);

    void setTableLease(const TableLeaseInfo&, TimePoint now, RouterActions&);

    /// Rejects new requests; admitted ones are finished.
    void startDraining();

    RequestHandle submit(RequestSubmission, SubmitOrigin, TimePoint now, RouterActions&);

    void onServerResponse(RequestHandle, uint32_t attempt, std::string body, TimePoint now, RouterActions&);
    /// The server responded 503 with X-Not-Started: the request did not start.
    void onServerRejection(RequestHandle, uint32_t attempt, TimePoint now, RouterActions&);
    /// Connection failure, timeout or a response status other than 200. `wasSent` is false only if no byte of the
    /// request was sent.
    void onSendFailure(RequestHandle, uint32_t attempt, bool wasSent, TimePoint now, RouterActions&);

    /// `recorded` is the outcome for Duplicate; unused otherwise.
    void onStartRecordResult(RequestHandle, StartRecordResult, Outcome recorded, TimePoint now, RouterActions&);
    /// Called for each RecordOutcome with isAwaited, also if the home group was unreachable.
    void onOutcomeRecordFinished(RequestHandle, TimePoint now, RouterActions&);

    void onForwardResponse(RequestHandle, Outcome, TimePoint now, RouterActions&);
    void onForwardFailure(RequestHandle, bool wasSent, TimePoint now, RouterActions&);

    /// The caller closed its connection. A waiting request is cancelled; a running one is finished, so that its outcome
    /// is recorded.
    void onCallerDisconnect(RequestHandle, TimePoint now, RouterActions&);

    void tick(TimePoint now, RouterActions&);
    /// Earliest time at which tick() has work; empty if none.
    std::optional<TimePoint> nextTick() const;

    /// Requests without a response so far.
    size_t requestsInProgress() const;
    bool isDraining() const;

    /// Number of waiting and running requests, for SlotLeaseHolder::makeRequest.
    uint32_t demand() const;
    std::vector<ServerUsage> serverUsage() const;
    /// Free slots of this host's shares at `now`.
    uint32_t freeSlots(TimePoint now) const;
    std::vector<RowLoad> rowLoads() const;
    /// Servers on probation because of their failure scores; they get probes only.
    std::vector<ServerId> serversOnProbation() const;
    const RouterCounts& counts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hickoryknot
