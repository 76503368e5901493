#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <pcg_random.hpp>

#include "RouterFixture.h"

namespace hickoryknot {

using namespace routertest;

namespace {

// Drives one router with random events and checks its invariants after each of them.
class RandomizedHost {
public:
    explicit RandomizedHost(uint64_t seed)
        : m_random(seed, 3)
        , m_setup({ makeRow("lookup"), makeRow("order", false), makeRow("slow") }, 4, 2, { .seed = seed })
    {
        for (size_t i = 0; i < 4; ++i)
            m_usable[serverName(i)] = at(1000s);
    }

    void run()
    {
        for (int step = 0; step < 600; ++step) {
            m_now += Duration(m_random(20000));
            runRandomEvent();
            executeActions();
        }
        completeAll();
        CPPUNIT_ASSERT_EQUAL(size_t(0), m_setup.router.requestsInProgress());
        CPPUNIT_ASSERT(m_setup.router.serverUsage().empty());
        CPPUNIT_ASSERT_EQUAL(uint32_t(0), m_setup.router.demand());
        for (const auto& [handle, history] : m_histories)
            CPPUNIT_ASSERT_EQUAL(1, history.responses);
    }

private:
    struct RequestHistory {
        bool isRepeatable { true };
        bool isGranted { false };
        // Sends that may have run: neither rejected nor failed before a byte was sent.
        int possibleRuns { 0 };
        int responses { 0 };
    };

    void runRandomEvent()
    {
        Router& router = m_setup.router;
        RouterActions& actions = m_setup.actions;
        const uint32_t choice = m_random(100);
        if (choice < 45)
            submitOne();
        else if (choice < 75)
            completeOne();
        else if (choice < 92)
            router.tick(m_now, actions);
        else if (choice < 94)
            changeShares();
        else if (choice < 95)
            router.setTableLease({ .expiry = m_now + Duration(m_random(900000)) }, m_now, actions);
        else if (choice < 97)
            changeServers();
        else if (choice < 98)
            router.setForwardTargets({ { ZoneId("east"), m_random(4) } });
        else if (!m_histories.empty())
            router.onCallerDisconnect(
                std::next(m_histories.begin(), m_random(m_histories.size()))->first, m_now, actions);
    }

    void submitOne()
    {
        static const char* rows[] = { "lookup", "order", "slow", "missing" };
        auto submission = makeRequest(rows[m_random(16) % 4], Duration(1000 + m_random(400000)));
        const bool isRepeatable = submission.row != RowName("order");
        // Records the handle before its first actions are executed.
        const RequestHandle handle = m_setup.submit(std::move(submission), m_now);
        m_histories[handle].isRepeatable = isRepeatable;
    }

    void changeShares()
    {
        m_slots = m_random(4);
        m_leasedUntil = m_now + Duration(m_random(500000));
        m_setup.router.setShares(makeShares(4, m_slots), m_leasedUntil, m_now, m_setup.actions);
    }

    void changeServers()
    {
        auto trackedServers = makeServers(4, m_now + Duration(m_random(1000000)));
        trackedServers[m_random(4)].isLeaving = true;
        trackedServers.resize(1 + m_random(4));
        m_usable.clear();
        for (const TrackedServer& tracked : trackedServers) {
            if (!tracked.isLeaving && m_now < tracked.freshUntil)
                m_usable[tracked.server] = tracked.freshUntil;
        }
        m_setup.router.setServers(trackedServers, m_now, m_setup.actions);
    }

    // Completes one outstanding send, record or forward; sometimes twice.
    void completeOne()
    {
        if (m_outstanding.empty())
            return;
        const size_t index = m_random(m_outstanding.size());
        const RouterAction action = m_outstanding[index];
        if (m_random(10))
            m_outstanding.erase(m_outstanding.begin() + static_cast<std::ptrdiff_t>(index));
        std::visit([this](const auto& open) { complete(open); }, action);
    }

    void complete(const SendToServer& sent)
    {
        Router& router = m_setup.router;
        RequestHistory& history = m_histories[sent.handle];
        // A send that was completed before gets a duplicate response, which must have no effect.
        const bool isFirstResult = m_completed.insert({ { sent.handle, sent.attempt }, true }).second;
        const uint32_t kind = isFirstResult ? m_random(4) : 0;
        if (kind == 0) {
            router.onServerResponse(sent.handle, sent.attempt, "x", m_now, m_setup.actions);
        } else if (kind == 1) {
            --history.possibleRuns;
            router.onServerRejection(sent.handle, sent.attempt, m_now, m_setup.actions);
        } else {
            if (kind == 2)
                --history.possibleRuns;
            router.onSendFailure(sent.handle, sent.attempt, kind == 3, m_now, m_setup.actions);
        }
    }

    void complete(const RecordStart& record)
    {
        const auto result = static_cast<StartRecordResult>(std::min(m_random(5), 2U));
        m_histories[record.handle].isGranted |= result == StartRecordResult::Granted;
        m_setup.router.onStartRecordResult(
            record.handle, result, { OutcomeKind::Unknown, "recorded", "", "" }, m_now, m_setup.actions);
    }

    void complete(const ForwardToZone& forward)
    {
        if (m_random(2)) {
            m_setup.router.onForwardResponse(
                forward.handle, { OutcomeKind::Done, "ok", "", "" }, m_now, m_setup.actions);
            return;
        }
        const bool wasSent = m_random(2);
        m_setup.router.onForwardFailure(forward.handle, wasSent, m_now, m_setup.actions);
    }

    void complete(const RecordOutcome& record)
    {
        m_setup.router.onOutcomeRecordFinished(record.handle, m_now, m_setup.actions);
    }
    void complete(const RespondToCaller&) { }

    void executeActions()
    {
        for (const RouterAction& action : std::exchange(m_setup.actions, {})) {
            if (const auto* sent = std::get_if<SendToServer>(&action)) {
                RequestHistory& history = m_histories[sent->handle];
                CPPUNIT_ASSERT_EQUAL(0, history.responses);
                ++history.possibleRuns;
                const bool isRepeatable = sent->request->row != RowName("order");
                CPPUNIT_ASSERT(isRepeatable || (history.possibleRuns == 1 && history.isGranted));
                checkShare(sent->server);
            }
            if (const auto* response = std::get_if<RespondToCaller>(&action)) {
                RequestHistory& history = m_histories[response->handle];
                CPPUNIT_ASSERT_EQUAL(1, ++history.responses);
                CPPUNIT_ASSERT(response->outcome.kind != OutcomeKind::NotRun || history.possibleRuns == 0);
                CPPUNIT_ASSERT(response->outcome.kind != OutcomeKind::Cancelled || history.possibleRuns == 0);
                continue;
            }
            const auto* record = std::get_if<RecordOutcome>(&action);
            if (!record || record->isAwaited)
                m_outstanding.push_back(action);
        }
    }

    // A server gets requests only while it is fresh, and only within this host's share.
    void checkShare(const ServerId& server)
    {
        CPPUNIT_ASSERT(m_now < m_leasedUntil);
        CPPUNIT_ASSERT(m_usable.contains(server) && m_now < m_usable[server]);
        for (const ServerUsage& use : m_setup.router.serverUsage())
            CPPUNIT_ASSERT(use.server != server || use.running <= m_slots);
    }

    // Lets all deadlines pass and completes all outstanding actions.
    void completeAll()
    {
        m_now += 700s;
        m_setup.router.tick(m_now, m_setup.actions);
        executeActions();
        while (!m_outstanding.empty()) {
            completeOne();
            executeActions();
        }
        m_setup.router.tick(m_now, m_setup.actions);
        executeActions();
    }

    pcg32 m_random;
    Setup m_setup;
    TimePoint m_now { at(1s) };
    uint32_t m_slots { 2 };
    TimePoint m_leasedUntil { at(1000s) };
    std::map<ServerId, TimePoint> m_usable;
    std::vector<RouterAction> m_outstanding;
    std::map<RequestHandle, RequestHistory> m_histories;
    std::map<std::pair<RequestHandle, uint32_t>, bool> m_completed;
};

} // namespace

class RouterInvariantTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouterInvariantTest);
    CPPUNIT_TEST(everyRequestGetsOneCorrectResponse);
    CPPUNIT_TEST(decisionsDependOnlyOnTheSeed);
    CPPUNIT_TEST_SUITE_END();

    // Guards against lost, duplicate and wrong responses, duplicate runs and leaked slots under random events.
    void everyRequestGetsOneCorrectResponse()
    {
        for (uint64_t seed = 1; seed <= 400; ++seed)
            RandomizedHost(seed).run();
    }

    // Guards against decisions that depend on memory addresses or on the order of hash tables.
    void decisionsDependOnlyOnTheSeed()
    {
        const auto serversOf = [](uint64_t seed) {
            std::string servers;
            Setup setup({ makeRow("lookup") }, 10, 2, { .seed = seed });
            for (int i = 0; i < 20; ++i)
                setup.submit(makeRequest("lookup"), at(1s));
            for (const SendToServer& sent : setup.drain<SendToServer>())
                servers += sent.server.value();
            return servers;
        };
        CPPUNIT_ASSERT_EQUAL(serversOf(5), serversOf(5));
        CPPUNIT_ASSERT(serversOf(5) != serversOf(6));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterInvariantTest);

} // namespace hickoryknot
