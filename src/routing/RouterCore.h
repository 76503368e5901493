#pragma once

#include <algorithm>
#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "core/Outcome.h"
#include "core/Time.h"
#include "routing/RequestTable.h"
#include "routing/RequestTimerQueue.h"
#include "routing/Router.h"
#include "routing/RouterRows.h"
#include "routing/ServerPool.h"

namespace hickoryknot {

/// Implementation of Router; not for other users. Implemented in RouterAdmission.cpp, RouterDispatch.cpp and
/// RouterRequest.cpp.
struct RouterCore {
    explicit RouterCore(const RouterSettings& initialSettings)
        : settings(initialSettings)
        , random(initialSettings.seed, 1)
        , rows(initialSettings.lowPriorityDivisor)
        , pool(initialSettings.seed, initialSettings.usesFailureScores)
    {
        settings.maxAttempts = std::clamp(settings.maxAttempts, 1U, RoutedRequest::maxAttempts);
    }

    // Admission.
    void admit(RoutedRequest&, TimePoint now, RouterActions&);
    bool rejectUnservable(RoutedRequest&, TimePoint now, RouterActions&);
    bool rejectIfTooLate(RoutedRequest&, bool canStartImmediately, TimePoint now, RouterActions&);
    bool canStartImmediately(const RouterRow&, TimePoint now);
    Duration estimateWait(const RouterRow&, TimePoint now);
    bool mayServeRow(const Row&, TimePoint now) const;

    // Queueing and dispatch.
    void enqueue(RoutedRequest&, bool isFirst);
    void dispatch(TimePoint now, RouterActions&);
    void collectCandidates();
    bool startNextOfRow(uint32_t row, TimePoint now, RouterActions&);
    bool endIfUnservable(RoutedRequest&, TimePoint now, RouterActions&);
    void forwardWaiting(TimePoint now, RouterActions&);
    void endUnservedRows(TimePoint now, RouterActions&);

    // Request life cycle.
    void start(RoutedRequest&, uint32_t server, TimePoint now, RouterActions&);
    void send(RoutedRequest&, TimePoint now, RouterActions&);
    void releaseSlot(RoutedRequest&, SendResult, TimePoint now);
    void retryOrFinish(RoutedRequest&, TimePoint now, RouterActions&);
    bool tryForward(RoutedRequest&, TimePoint now, RouterActions&);
    void onTimeLimit(RoutedRequest&, TimePoint now, RouterActions&);
    void onDeadline(RoutedRequest&, TimePoint now, RouterActions&);
    void onWaitBoundEnd(RoutedRequest&, TimePoint now, RouterActions&);
    SendResult classifyFailure(const RoutedRequest&) const;

    // Completion.
    Outcome outcomeWithoutResponse(const RoutedRequest&, const char* reason, std::string message) const;
    void finishWithoutResponse(RoutedRequest&, const char* reason, std::string message, TimePoint now, RouterActions&);
    void finish(RoutedRequest&, Outcome, TimePoint now, RouterActions&);
    void respond(RoutedRequest&, Outcome, TimePoint now, RouterActions&);
    void remove(RoutedRequest&);

    std::string cutOffMessage(const Row&) const;
    RouterRow& rowOf(const RoutedRequest& request) { return rows[request.row]; }
    auto isInQueue()
    {
        return [this](RequestHandle handle) {
            const RoutedRequest* request = requests.find(handle);
            return request && request->isInQueue();
        };
    }
    RoutedRequest* findRunning(RequestHandle, uint32_t attempt);

    RouterSettings settings;

    pcg32 random;
    RouterRows rows;
    ServerPool pool;
    RequestTable requests;
    RequestTimerQueue timers;
    std::vector<ForwardTarget> forwardTargets;
    TableLeaseInfo tableLease;
    bool isExpiryHandled { false };
    bool isDraining { false };
    uint32_t pendingResponses { 0 };
    uint32_t waiting { 0 };
    RouterCounts counts;

    // Scratch vectors, kept between calls to avoid allocations.
    std::vector<uint32_t> backloggedRows; // rows with waiting requests
    std::vector<uint32_t> candidates;
    std::vector<uint32_t> blockedRows;
};

} // namespace hickoryknot
