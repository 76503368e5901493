#pragma once

#include <algorithm>
#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "core/Outcome.h"
#include "core/Time.h"
#include "routing/RequestTable.h"
#include "routing/RequestTimers.h"
#include "routing/Router.h"
#include "routing/RouterRows.h"
#include "routing/ServerPool.h"

namespace hickoryknot {

/// State and steps behind Router; not for other users. Split by duty over RouterAdmission.cpp, RouterDispatch.cpp and
/// RouterRequest.cpp.
struct RouterCore {
    explicit RouterCore(const RouterSettings& given)
        : settings(given)
        , random(given.seed, 1)
        , rows(given.lowPriorityPart)
        , pool(given.seed, given.usesFailureScores)
    {
        settings.maxAttempts = std::clamp(settings.maxAttempts, 1U, RoutedRequest::maxAttempts);
    }

    // Admission.
    void admit(RoutedRequest&, TimePoint now, RouterActions&);
    bool answerUnservable(RoutedRequest&, TimePoint now, RouterActions&);
    bool answerTooLate(RoutedRequest&, bool canStartNow, TimePoint now, RouterActions&);
    bool canStartNow(const RouterRow&, TimePoint now);
    Duration expectedWait(const RouterRow&, TimePoint now);
    bool servesRow(const Row&, TimePoint now) const;

    // Queues and turns.
    void enqueue(RoutedRequest&, bool isFirst);
    void dispatch(TimePoint now, RouterActions&);
    void collectCandidates();
    bool startOneOf(uint32_t row, TimePoint now, RouterActions&);
    bool dropIfHopeless(RoutedRequest&, TimePoint now, RouterActions&);
    void forwardWaiting(TimePoint now, RouterActions&);
    void dropUnservedRows(TimePoint now, RouterActions&);

    // One request.
    void start(RoutedRequest&, uint32_t server, TimePoint now, RouterActions&);
    void send(RoutedRequest&, TimePoint now, RouterActions&);
    void releaseSlot(RoutedRequest&, SendResult, TimePoint now);
    void retryOrGiveUp(RoutedRequest&, TimePoint now, RouterActions&);
    bool tryForward(RoutedRequest&, TimePoint now, RouterActions&);
    void boundReached(RoutedRequest&, TimePoint now, RouterActions&);
    void deadlineReached(RoutedRequest&, TimePoint now, RouterActions&);
    void waitBoundReached(RoutedRequest&, TimePoint now, RouterActions&);
    SendResult failureOf(const RoutedRequest&) const;

    // Endings.
    Outcome withoutAnswer(const RoutedRequest&, const char* reason, std::string sentence) const;
    void giveUp(RoutedRequest&, const char* reason, std::string sentence, TimePoint now, RouterActions&);
    void finish(RoutedRequest&, Outcome, TimePoint now, RouterActions&);
    void answer(RoutedRequest&, Outcome, TimePoint now, RouterActions&);
    void remove(RoutedRequest&);

    std::string cutOffSentence(const Row&) const;
    RouterRow& rowOf(const RoutedRequest& request) { return rows[request.row]; }
    auto isInQueue()
    {
        return [this](RequestHandle ticket) {
            const RoutedRequest* request = requests.find(ticket);
            return request && request->isInQueue();
        };
    }
    RoutedRequest* findRunning(RequestHandle, uint32_t attempt);

    RouterSettings settings;

    pcg32 random;
    RouterRows rows;
    ServerPool pool;
    RequestTable requests;
    RequestTimers timers;
    std::vector<ForwardTarget> forwardTargets;
    TableLeaseInfo servingRule;
    bool isRuleSwept { false };
    bool isDraining { false };
    uint32_t answersOwed { 0 };
    uint32_t waiting { 0 };
    RouterCounts counts;

    // Reused between calls.
    std::vector<uint32_t> busyRows; // rows with waiting requests
    std::vector<uint32_t> candidates;
    std::vector<uint32_t> blockedRows;
};

} // namespace hickoryknot
